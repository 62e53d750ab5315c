package trial

// This file defines Phase and Result.

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphorspoke/internal/measure"
)

// Phase is a part of a trial.
type Phase struct {
	Name string
	For  time.Duration
	// DownEvery takes an engine down for DownFor, always the same one when
	// Flapping.
	DownEvery, DownFor time.Duration
	Flapping           bool
	// Surge makes one account send ten times its rate.
	Surge bool
	// Disagree lets routers hear of changes seconds apart.
	Disagree bool
	// LagLoads makes reported loads seconds old.
	LagLoads bool
}

// Phases returns the phases of a measurement; the first one warms up.
func Phases() []Phase {
	const d = 10 * time.Minute
	return []Phase{
		{Name: "warm-up", For: 40 * time.Minute},
		{Name: "steady", For: d},
		{Name: "churn", For: d, DownEvery: time.Minute, DownFor: 20 * time.Second},
		{Name: "flapping", For: d, DownEvery: 15 * time.Second, DownFor: 5 * time.Second, Flapping: true},
		{Name: "surge", For: d, Surge: true},
		{Name: "disagree", For: d, DownEvery: time.Minute, DownFor: 20 * time.Second, Disagree: true},
		{Name: "lagging loads", For: d, LagLoads: true},
	}
}

// SurgingIn returns whether a time lies in a phase with a surge.
func SurgingIn(phases []Phase) func(time.Duration) bool {
	return func(now time.Duration) bool {
		for _, p := range phases {
			if now < p.For {
				return p.Surge
			}
			now -= p.For
		}
		return false
	}
}

// Result is what one policy gave in one phase.
type Result struct {
	Phase    string
	Requests int64
	Refused  int64
	// RefusedOthers counts those refused that are not the surging account's.
	RefusedOthers int64
	Admitted      int64
	OverBound     int64
	Reused        int64
	Reusable      int64
	// MovedTokens counts cached tokens copied between engines.
	MovedTokens int64
	Skew        []float64

	// first holds first-token times in milliseconds, by class, and byAccount
	// those of each account.
	first     [3]*hdrhistogram.Histogram
	byAccount map[string]*hdrhistogram.Histogram
}

const (
	longestMs = 10 * 60 * 1000
	digits    = 3
)

func newResult(phase string) *Result {
	r := &Result{
		Phase:     phase,
		byAccount: make(map[string]*hdrhistogram.Histogram),
	}
	for i := range r.first {
		r.first[i] = hdrhistogram.New(1, longestMs, digits)
	}
	return r
}

func (r *Result) firstToken(q *measure.Request, d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), longestMs)
	_ = r.first[q.Class].RecordValue(ms)
	h := r.byAccount[q.Account]
	if h == nil {
		h = hdrhistogram.New(1, longestMs, digits)
		r.byAccount[q.Account] = h
	}
	_ = h.RecordValue(ms)
}

// ReusedShare returns the share of reusable prompt tokens that was reused.
func (r *Result) ReusedShare() float64 { return float64(r.Reused) / float64(max(r.Reusable, 1)) }

// OverShare returns the share of admissions above the true bound.
func (r *Result) OverShare() float64 { return float64(r.OverBound) / float64(max(r.Admitted, 1)) }

// FirstToken returns a quantile, in percent, of a class's first-token time.
func (r *Result) FirstToken(class int, q float64) time.Duration {
	return time.Duration(r.first[class].ValueAtQuantile(q)) * time.Millisecond
}

// FirstTokenWithout returns a quantile over all accounts but one.
func (r *Result) FirstTokenWithout(account string, q float64) time.Duration {
	all := hdrhistogram.New(1, longestMs, digits)
	for name, h := range r.byAccount {
		if name != account {
			all.Merge(h)
		}
	}
	return time.Duration(all.ValueAtQuantile(q)) * time.Millisecond
}

// SkewAt returns a quantile, from 0 to 1, of the sampled max/mean load.
func (r *Result) SkewAt(q float64) float64 {
	if len(r.Skew) == 0 {
		return 0
	}
	s := slices.Clone(r.Skew)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
