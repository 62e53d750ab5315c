package scheduler_test

// This file replays engines whose memory is full before their slots are.

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

const (
	memoryEngines = 5
	memorySlots   = 96
	memoryTokens  = 221_545
	memoryStep    = 5 * time.Millisecond
)

// heldRequest is a request in progress or in the queue.
type heldRequest struct {
	scheduler.Request

	server  string
	arrived time.Duration
	endsAt  time.Duration
	span    time.Duration
}

// memoryReplay counts what engines hold apart from the scheduler.
type memoryReplay struct {
	t         *testing.T
	now       time.Duration
	scheduler *scheduler.Scheduler
	servers   []scheduler.Server
	waiting   map[uint64]*heldRequest
	running   []*heldRequest
	held      map[string]*heldTokens
	// most is the largest number of tokens that an engine held, refused counts the
	// requests that were refused for want of room.
	most    int
	refused int
	granted int
}

// heldTokens is what one engine holds: its requests by part, their tokens and their number.
type heldTokens struct {
	parts    map[uint64]int
	tokens   int
	requests int
}

// with returns the tokens and requests that the engine would hold with one more request.
func (h *heldTokens) with(q *heldRequest) (tokens, requests int) {
	tokens = h.tokens + q.PromptTokens + q.MaxOutputTokens
	for _, p := range q.Parts {
		if h.parts[p.ID] > 0 {
			tokens -= p.Tokens
		}
	}
	return tokens, h.requests + 1
}

func (h *heldTokens) add(q *heldRequest) {
	h.tokens, h.requests = h.with(q)
	for _, p := range q.Parts {
		h.parts[p.ID]++
	}
}

func (h *heldTokens) remove(q *heldRequest) {
	for _, p := range q.Parts {
		h.parts[p.ID]--
	}
	with, _ := h.with(q)
	h.tokens -= with - h.tokens
	h.requests--
}

func (r *memoryReplay) decide(d scheduler.Decision) {
	q := r.waiting[d.ID]
	delete(r.waiting, d.ID)
	if d.Server == "" {
		require.Equal(r.t, scheduler.Overloaded, d.Refusal)
		r.refused++
		if q.arrived == r.now {
			r.requireNoRoom(q)
		}
		return
	}
	r.granted++
	q.server, q.endsAt = d.Server, r.now+q.span
	r.running = append(r.running, q)
	r.held[d.Server].add(q)
	r.most = max(r.most, r.held[d.Server].tokens)
	require.LessOrEqual(r.t, r.held[d.Server].tokens, memoryTokens, "%s", d.Server)
}

// requireNoRoom requires that no engine has room for a request.
func (r *memoryReplay) requireNoRoom(q *heldRequest) {
	for _, sv := range r.servers {
		tokens, requests := r.held[sv.Name].with(q)
		if tokens <= memoryTokens && requests <= memorySlots {
			require.Fail(r.t, "a request was not granted", "%s would hold %d tokens of %d requests with it", sv.Name, tokens, requests)
		}
	}
}

// step ends requests and processes the queue. None that stays there has room.
func (r *memoryReplay) step() {
	for _, q := range slices.Clone(r.running) {
		if q.endsAt > r.now {
			continue
		}
		r.running = slices.DeleteFunc(r.running, func(o *heldRequest) bool { return o == q })
		r.held[q.server].remove(q)
		for _, d := range reportDone(r.scheduler, r.now, q.ID) {
			r.decide(d)
		}
	}
	for _, d := range r.scheduler.Tick(r.now) {
		r.decide(d)
	}
	for _, q := range r.waiting {
		r.requireNoRoom(q)
	}
	r.now += memoryStep
}

// submit submits a request whose caller reads the answer for a time.
func (r *memoryReplay) submit(req scheduler.Request, span time.Duration) {
	req.ID = uint64(r.granted + r.refused + len(r.waiting) + 1)
	req.MaxWait = 500 * time.Millisecond
	r.waiting[req.ID] = &heldRequest{
		Request: req,
		arrived: r.now,
		span:    span,
	}
	if d, ok := r.scheduler.Schedule(r.now, req); ok {
		r.decide(d)
	}
}

// TestMemoryIsNotOverfilled: engines with many slots were granted requests by their slots alone.
// Long prompts whose callers read slowly filled the memory several times over. No engine gets
// more than its memory, and nothing is refused while another one has memory for it: a long
// request at the head of the queue must not keep short ones out.
func TestMemoryIsNotOverfilled(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := &memoryReplay{
			t: t,
			scheduler: scheduler.New(scheduler.Service{
				Name:        "llm",
				Engine:      true,
				Slots:       memorySlots,
				CacheTokens: memoryTokens,
				LoadBound:   2,
				RetryWindow: 10 * time.Second,
			}),
			waiting: make(map[uint64]*heldRequest),
			held:    make(map[string]*heldTokens),
		}
		r.servers = listServers(r.scheduler, memoryEngines, memorySlots)
		for _, sv := range r.servers {
			r.held[sv.Name] = &heldTokens{
				parts: make(map[uint64]int),
			}
		}
		for r.now < 10*time.Second {
			for range rng.IntN(3) {
				own := 200 + rng.IntN(800)
				if rng.IntN(4) == 0 {
					own = 8000 + rng.IntN(40_000)
				}
				parts := []prefixcache.Part{
					{ID: 1, Tokens: 2500},
					{ID: 100 + rng.Uint64N(30), Tokens: 3000},
					{ID: 1_000_000 + rng.Uint64(), Tokens: own},
				}
				r.submit(scheduler.Request{
					Parts:           parts,
					PromptTokens:    5500 + own + 250,
					MaxOutputTokens: 100 + rng.IntN(900),
				}, time.Duration(200+rng.IntN(4000))*time.Millisecond)
			}
			r.step()
		}
		t.Logf("%d granted, %d refused, at most %d tokens held", r.granted, r.refused, r.most)
		require.Greater(t, r.most, memoryTokens*9/10, "the memory must fill")
		require.NotZero(t, r.refused)
	}
}

// TestRequestLargerThanAnyMemoryIsRefusedAtOnce: it waited for its time in the queue and ahead of
// others, although no engine can ever hold it.
func TestRequestLargerThanAnyMemoryIsRefusedAtOnce(t *testing.T) {
	s, _ := newEngineScheduler(3)
	req := scheduler.Request{
		ID:              1,
		Parts:           prompt(1, 2),
		PromptTokens:    99_000,
		MaxOutputTokens: 1000,
		MaxWait:         time.Second,
	}
	d, ok := s.Schedule(0, req)
	require.True(t, ok)
	require.NotEmpty(t, d.Server)
	req.ID, req.MaxOutputTokens = 2, 1001
	d, ok = s.Schedule(0, req)
	require.True(t, ok)
	require.Equal(t, scheduler.TooLarge, d.Refusal)
}
