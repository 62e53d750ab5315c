// Package gates holds the gate and the soft tables of each backend server that
// a router admits to.
//
// Lock order: the table's lock, then a row's lock; no other lock is taken
// under a row's lock.
package gates

// This file defines Table.

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphorspoke/internal/check/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/displaced"
	"camphorspoke/internal/routing/residency"
)

// Table holds one row for each server.
type Table struct {
	// Now is the monotonic clock.
	Now     func() time.Duration
	Checker *invariant.Checker

	mu     sync.Mutex
	rows   map[string]*row
	ticket atomic.Uint64
}

type row struct {
	mu        sync.Mutex
	gate      admission.Gate
	waiting   map[string]chan struct{}
	resident  residency.Table
	displaced displaced.Table
	epoch     uint64
	counter   uint64
	// carried is the load that the earlier owner still has in flight.
	carried      int
	carriedUntil time.Duration
}

// carriedFor is how long an earlier owner's word on its load counts.
const carriedFor = 2 * time.Second

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

// find returns the row of a server, or nil.
func (t *Table) find(s string) *row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[s]
}

// Ticket is an admitted request.
type Ticket struct {
	table   *Table
	row     *row
	request routing.Request
	started chan struct{}
	once    sync.Once
}

// Started is closed when the request may be dispatched.
func (t *Ticket) Started() <-chan struct{} { return t.started }

// Leave ends the request and starts those that waited for its slot.
func (t *Ticket) Leave() {
	t.once.Do(func() {
		t.row.mu.Lock()
		defer t.row.mu.Unlock()
		delete(t.row.waiting, t.request.ID)
		t.row.counter++
		for _, n := range t.row.gate.Finish(t.table.Now(), t.request) {
			if c := t.row.waiting[n.ID]; c != nil {
				close(c)
				delete(t.row.waiting, n.ID)
			}
		}
	})
}

// Enter offers a request to the gate of a server.
func (t *Table) Enter(s *pb.BackendServer, req routing.Request, terms admission.Terms) (*Ticket, routing.Decision) {
	r := t.row(s.GetName())
	// A caller may send a request again while the first is still here.
	req.ID = req.ID + "#" + strconv.FormatUint(t.ticket.Add(1), 10)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Slots = int(s.GetSlots())
	if r.epoch != s.GetEpoch() {
		r.epoch, r.counter = s.GetEpoch(), 0
	}
	if t.Now() < r.carriedUntil && terms.Cap == 0 {
		terms.Carried = r.carried
	}
	d := r.gate.Offer(t.Now(), req, terms)
	if d.Refused != "" {
		return nil, d
	}
	r.counter++
	k := &Ticket{
		table:   t,
		row:     r,
		request: req,
		started: make(chan struct{}),
	}
	if d.Started {
		close(k.started)
	} else {
		r.waiting[req.ID] = k.started
	}
	return k, d
}

// Load returns the load of a server as counted here.
func (t *Table) Load(s string) int {
	r := t.find(s)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Load()
}

// Carry notes how much an earlier owner still has in flight at a server.
func (t *Table) Carry(s string, load int) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carried, r.carriedUntil = load, t.Now()+carriedFor
}

// Report returns the load report of a server.
func (t *Table) Report(s *pb.BackendServer) *pb.LoadReport {
	r := t.row(s.GetName())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch != s.GetEpoch() {
		r.epoch, r.counter = s.GetEpoch(), 0
	}
	r.counter++
	return &pb.LoadReport{
		BackendServer: s.GetName(),
		Load:          uint32(r.gate.Load()),
		Epoch:         r.epoch,
		Counter:       r.counter,
	}
}

// Cached returns how many tokens of a chat a server is believed to hold.
func (t *Table) Cached(s, chat string) uint32 {
	r := t.find(s)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resident.Tokens(chat)
}

// Served notes that a server now holds tokens of a chat.
func (t *Table) Served(s *pb.BackendServer, chat string, tokens uint32) {
	r := t.row(s.GetName())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident.Capacity = s.GetCacheTokens()
	r.resident.Touch(chat, tokens)
}

// Correct takes the cache events of a server.
func (t *Table) Correct(s string, events []*pb.CacheEvent) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident.Correct(events)
}

// LastEvent returns the sequence number to ask cache events after.
func (t *Table) LastEvent(s string) uint64 {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resident.LastEvent()
}

// ClearCache notes that a server has restarted with an empty cache.
func (t *Table) ClearCache(s string) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident.Clear()
}

// Displaced returns where a chat at home on server s was served last.
func (t *Table) Displaced(s, chat string) (displaced.Place, bool) {
	r := t.find(s)
	if r == nil {
		return displaced.Place{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.displaced.Get(chat)
}

// Displace remembers that a chat at home on s was served elsewhere; an empty
// place forgets it.
func (t *Table) Displace(s, chat string, p displaced.Place) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Server == "" {
		r.displaced.Forget(chat)
		return
	}
	r.displaced.Put(chat, p)
}

// Export returns the soft tables of a server, for its next owner.
func (t *Table) Export(s string, limit int) (cached []*pb.CachedChat, away []*pb.DisplacedChat, inFlight int) {
	r := t.row(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resident.Rows(limit), r.displaced.Rows(limit), r.gate.Load()
}

// Import takes the soft tables of a server from its earlier owner.
func (t *Table) Import(s *pb.BackendServer, cached []*pb.CachedChat, away []*pb.DisplacedChat) {
	r := t.row(s.GetName())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident.Capacity = s.GetCacheTokens()
	for i := len(cached) - 1; i >= 0; i-- {
		if c := cached[i]; r.resident.Tokens(c.GetChat()) == 0 {
			r.resident.Touch(c.GetChat(), c.GetTokens())
		}
	}
	for i := len(away) - 1; i >= 0; i-- {
		d := away[i]
		if _, ok := r.displaced.Get(d.GetChat()); ok {
			continue
		}
		r.displaced.Put(d.GetChat(), displaced.Place{
			Server: d.GetBackendServer(),
			Tokens: d.GetTokens(),
		})
	}
}

// State is what the dump shows of one server.
type State struct {
	Server       string `json:"backendServer"`
	Load         int    `json:"load"`
	Running      int    `json:"running"`
	Queued       int    `json:"queued"`
	Peak         int    `json:"peakLoad"`
	CachedChats  int    `json:"cachedChats"`
	Displaced    int    `json:"displacedChats"`
	Epoch        uint64 `json:"epoch"`
	CarriedLoad  int    `json:"carriedLoad,omitempty"`
	SlotsAllowed int    `json:"slots"`
}

// States returns the state of each server, in no order.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for name, r := range t.rows {
		r.mu.Lock()
		out = append(out, State{
			Server:       name,
			Load:         r.gate.Load(),
			Running:      r.gate.Running(),
			Queued:       r.gate.Queued(),
			Peak:         r.gate.Peak(),
			CachedChats:  r.resident.Len(),
			Displaced:    r.displaced.Len(),
			Epoch:        r.epoch,
			CarriedLoad:  r.carried,
			SlotsAllowed: r.gate.Slots,
		})
		r.mu.Unlock()
	}
	return out
}
