// Package serverstate holds a router's state of each backend server to which it
// admits requests: the admission gate, the model of the server's prefix cache, the
// locations of displaced chats and the counter of load reports. A displaced chat is
// one whose preferred engine is this server, but whose last request was served by
// another one. The prefix cache model and the displaced chats are soft state: losing
// them costs cache hits, not correctness.
//
// Lock order: first the lock of the table, then that of a row; no other lock is
// taken while a row's lock is held.
package serverstate

// This file defines Table and Permit.

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorspoke/internal/base/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/displaced"
	"camphorspoke/internal/routing/residency"
)

// Table holds one row per backend server. The zero value needs Now to be set.
type Table struct {
	// Now returns the time of a monotonic clock.
	Now     func() time.Duration
	Checker *invariant.Checker

	mu   sync.Mutex
	rows map[string]*row
	// requestCount is the number of requests offered so far.
	requestCount atomic.Uint64
}

// row is the state of one backend server.
type row struct {
	mu   sync.Mutex
	gate admission.Gate
	// waiting holds the start channel of each queued request, by request ID.
	waiting     map[string]chan struct{}
	prefixCache residency.Table
	displaced   displaced.Table
	// epoch is the ownership epoch of the load reports, and reportCounter counts
	// changes and reports within it, so that later reports have higher numbers.
	epoch         uint64
	reportCounter uint64
	// inheritedLoad is the number of requests that the previous owner of the server
	// still has in flight; it counts until inheritedUntil.
	inheritedLoad  int
	inheritedUntil time.Duration
}

// inheritedLoadTTL is how long a load reported by the previous owner counts.
const inheritedLoadTTL = 2 * time.Second

// row returns the row of a server, and adds one if there is none.
func (t *Table) row(s string) *row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = make(map[string]*row)
	}
	r := t.rows[s]
	if r == nil {
		r = &row{
			waiting: make(map[string]chan struct{}),
			gate: admission.Gate{
				Server:  s,
				Checker: t.Checker,
			},
		}
		t.rows[s] = r
	}
	return r
}

// find returns the row of a server, or nil if there is none.
func (t *Table) find(s string) *row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[s]
}

// Permit represents an admitted request until Release is called.
type Permit struct {
	table   *Table
	row     *row
	request routing.Request
	started chan struct{}
	once    sync.Once
}

// Started returns a channel that is closed once the request holds a slot and may
// be dispatched.
func (p *Permit) Started() <-chan struct{} { return p.started }

// Release ends the request and starts the queued requests that get its slot.
// Calls after the first have no effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		p.row.mu.Lock()
		defer p.row.mu.Unlock()
		delete(p.row.waiting, p.request.ID)
		p.row.reportCounter++
		for _, next := range p.row.gate.Finish(p.table.Now(), p.request) {
			if c := p.row.waiting[next.ID]; c != nil {
				close(c)
				delete(p.row.waiting, next.ID)
			}
		}
	})
}

// Admit submits a request to the admission gate of a server. The first result is
// nil if the decision is a refusal.
func (t *Table) Admit(s *pb.BackendServer, req routing.Request, params admission.Params) (*Permit, routing.Decision) {
	r := t.row(s.GetName())
	// A caller may repeat a request ID while its first request is in flight, so
	// the ID is made unique.
	req.ID = req.ID + "#" + strconv.FormatUint(t.requestCount.Add(1), 10)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Slots = int(s.GetSlots())
	if r.epoch != s.GetEpoch() {
		r.epoch, r.reportCounter = s.GetEpoch(), 0
	}
	if t.Now() < r.inheritedUntil && params.Cap == 0 {
		params.InheritedLoad = r.inheritedLoad
	}
	d := r.gate.Offer(t.Now(), req, params)
	if d.Refused != "" {
		return nil, d
	}
	r.reportCounter++
	permit := &Permit{
		table:   t,
		row:     r,
		request: req,
		started: make(chan struct{}),
	}
	if d.Started {
		close(permit.started)
	} else {
		r.waiting[req.ID] = permit.started
	}
	return permit, d
}

// Load returns the number of requests that this router has running and queued at
// a server.
func (t *Table) Load(s string) int {
	r := t.find(s)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Load()
}

// SetInheritedLoad records how many requests the previous owner of a server still has
// in flight there.
func (t *Table) SetInheritedLoad(s string, load int) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inheritedLoad, r.inheritedUntil = load, t.Now()+inheritedLoadTTL
}

// Report returns a new load report on a server.
func (t *Table) Report(s *pb.BackendServer) *pb.LoadReport {
	r := t.row(s.GetName())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch != s.GetEpoch() {
		r.epoch, r.reportCounter = s.GetEpoch(), 0
	}
	r.reportCounter++
	return &pb.LoadReport{
		BackendServer: s.GetName(),
		Load:          uint32(r.gate.Load()),
		Epoch:         r.epoch,
		Counter:       r.reportCounter,
	}
}

// CachedTokens returns how many tokens of a chat the prefix cache of a server holds
// according to the model.
func (t *Table) CachedTokens(s, chat string) uint32 {
	r := t.find(s)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixCache.Tokens(chat)
}

// RecordServed records that a server has served a chat and now caches the given number
// of tokens of it.
func (t *Table) RecordServed(s *pb.BackendServer, chat string, tokens uint32) {
	r := t.row(s.GetName())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixCache.Capacity = s.GetCacheTokens()
	r.prefixCache.Touch(chat, tokens)
}

// ApplyCacheEvents applies the cache events of a server to the model of its prefix
// cache.
func (t *Table) ApplyCacheEvents(s string, events []*pb.CacheEvent) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixCache.ApplyEvents(events)
}

// LastEvent returns the sequence number of the last cache event that was applied.
func (t *Table) LastEvent(s string) uint64 {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixCache.LastEvent()
}

// ClearCache empties the prefix cache model of a server that has restarted.
func (t *Table) ClearCache(s string) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixCache.Clear()
}

// Displaced returns where a chat whose preferred engine is s was served last, if that
// was another server.
func (t *Table) Displaced(s, chat string) (displaced.Location, bool) {
	r := t.find(s)
	if r == nil {
		return displaced.Location{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.displaced.Get(chat)
}

// SetDisplaced records that a chat whose preferred engine is s was served at another
// location instead. A location without a server removes the record.
func (t *Table) SetDisplaced(s, chat string, location displaced.Location) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if location.Server == "" {
		r.displaced.Remove(chat)
		return
	}
	r.displaced.Put(chat, location)
}

// Export returns the soft state of a server, with at most limit cached and limit
// displaced chats, and its number of requests in flight. They are sent to the next
// owner when the server is handed over.
func (t *Table) Export(s string, limit int) (cached []*pb.CachedChat, displacedChats []*pb.DisplacedChat, inFlight int) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixCache.Chats(limit), r.displaced.Chats(limit), r.gate.Load()
}

// Import adds exported soft state to a server. Chats that are already recorded
// are left unchanged.
func (t *Table) Import(s *pb.BackendServer, cached []*pb.CachedChat, displacedChats []*pb.DisplacedChat) {
	r := t.row(s.GetName())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixCache.Capacity = s.GetCacheTokens()
	for i := len(cached) - 1; i >= 0; i-- {
		if c := cached[i]; r.prefixCache.Tokens(c.GetChat()) == 0 {
			r.prefixCache.Touch(c.GetChat(), c.GetTokens())
		}
	}
	for i := len(displacedChats) - 1; i >= 0; i-- {
		d := displacedChats[i]
		if _, ok := r.displaced.Get(d.GetChat()); ok {
			continue
		}
		r.displaced.Put(d.GetChat(), displaced.Location{
			Server: d.GetBackendServer(),
			Tokens: d.GetTokens(),
		})
	}
}

// State is the part of an instance's dump that describes one backend server.
type State struct {
	Server        string `json:"backendServer"`
	Load          int    `json:"load"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Peak          int    `json:"peakLoad"`
	CachedChats   int    `json:"cachedChats"`
	Displaced     int    `json:"displacedChats"`
	Epoch         uint64 `json:"epoch"`
	InheritedLoad int    `json:"carriedLoad,omitempty"`
	SlotsAllowed  int    `json:"slots"`
}

// States returns the state of each server, in no particular order.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for name, r := range t.rows {
		r.mu.Lock()
		out = append(out, State{
			Server:        name,
			Load:          r.gate.Load(),
			Running:       r.gate.Running(),
			Queued:        r.gate.Queued(),
			Peak:          r.gate.Peak(),
			CachedChats:   r.prefixCache.Len(),
			Displaced:     r.displaced.Len(),
			Epoch:         r.epoch,
			InheritedLoad: r.inheritedLoad,
			SlotsAllowed:  r.gate.Slots,
		})
		r.mu.Unlock()
	}
	return out
}
