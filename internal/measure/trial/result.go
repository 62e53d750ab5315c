package trial

// This file defines Phase and Result.

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphorspoke/internal/measure"
)

// Phase is a stretch of a trial with its own disturbances.
type Phase struct {
	Name     string
	Duration time.Duration
	// DownEvery is the interval at which an engine goes down for DownFor: a
	// random one, or always the first one when Flapping.
	DownEvery, DownFor time.Duration
	Flapping           bool
	// Surge makes one account send at ten times its normal rate.
	Surge bool
	// DelayListChanges delays changes of the engine list by less than maxListLag, by
	// a different time at each router.
	DelayListChanges bool
	// DelayLoadReports publishes loads to the routers only every
	// laggingReportInterval, so that they become seconds old.
	DelayLoadReports bool
}

// Phases returns the phases of a measurement. The first one fills the caches
// and is not reported.
func Phases() []Phase {
	const d = 10 * time.Minute
	return []Phase{
		{Name: "warm-up", Duration: 40 * time.Minute},
		{Name: "steady", Duration: d},
		{Name: "churn", Duration: d, DownEvery: time.Minute, DownFor: 20 * time.Second},
		{Name: "flapping", Duration: d, DownEvery: 15 * time.Second, DownFor: 5 * time.Second, Flapping: true},
		{Name: "surge", Duration: d, Surge: true},
		{Name: "disagree", Duration: d, DownEvery: time.Minute, DownFor: 20 * time.Second, DelayListChanges: true},
		{Name: "lagging loads", Duration: d, DelayLoadReports: true},
	}
}

// SurgingIn returns a function that reports whether a time lies in a phase with
// a surge.
func SurgingIn(phases []Phase) func(time.Duration) bool {
	return func(now time.Duration) bool {
		for _, p := range phases {
			if now < p.Duration {
				return p.Surge
			}
			now -= p.Duration
		}
		return false
	}
}

// Result holds the figures of one policy in one phase.
type Result struct {
	Phase    string
	Requests int64
	Refused  int64
	// RefusedOthers counts the refused requests of all accounts but the surging
	// one.
	RefusedOthers int64
	Admitted      int64
	// OverBound counts the admissions that raised the engine's load above the
	// bound computed from the actual loads.
	OverBound int64
	// Reusable is the number of prompt tokens that some engine had computed before,
	// and Reused the number of these that were in the cache of the serving engine.
	Reused   int64
	Reusable int64
	// MovedTokens counts cached tokens copied between engines.
	MovedTokens int64
	// Skew samples the maximum load of an engine divided by the mean load.
	Skew []float64

	// Histograms of the time to the first token in milliseconds.
	firstTokenByClass   [3]*hdrhistogram.Histogram
	firstTokenByAccount map[string]*hdrhistogram.Histogram
}

const (
	maxFirstTokenMs   = 10 * 60 * 1000
	significantDigits = 3
)

func newResult(phase string) *Result {
	r := &Result{
		Phase:               phase,
		firstTokenByAccount: make(map[string]*hdrhistogram.Histogram),
	}
	for i := range r.firstTokenByClass {
		r.firstTokenByClass[i] = hdrhistogram.New(1, maxFirstTokenMs, significantDigits)
	}
	return r
}

func (r *Result) recordFirstToken(q *measure.Request, d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), maxFirstTokenMs)
	_ = r.firstTokenByClass[q.Class].RecordValue(ms)
	h := r.firstTokenByAccount[q.Account]
	if h == nil {
		h = hdrhistogram.New(1, maxFirstTokenMs, significantDigits)
		r.firstTokenByAccount[q.Account] = h
	}
	_ = h.RecordValue(ms)
}

// ReusedShare returns the share of the reusable prompt tokens that was reused.
func (r *Result) ReusedShare() float64 { return float64(r.Reused) / float64(max(r.Reusable, 1)) }

// OverBoundShare returns the share of admissions above the bound computed from
// the actual loads.
func (r *Result) OverBoundShare() float64 { return float64(r.OverBound) / float64(max(r.Admitted, 1)) }

// TimeToFirstToken returns a percentile, from 0 to 100, of the time to the first
// token of a class.
func (r *Result) TimeToFirstToken(class int, q float64) time.Duration {
	return time.Duration(r.firstTokenByClass[class].ValueAtQuantile(q)) * time.Millisecond
}

// TimeToFirstTokenWithout returns a percentile, from 0 to 100, of the time to the
// first token over all accounts but one.
func (r *Result) TimeToFirstTokenWithout(account string, q float64) time.Duration {
	all := hdrhistogram.New(1, maxFirstTokenMs, significantDigits)
	for name, h := range r.firstTokenByAccount {
		if name != account {
			all.Merge(h)
		}
	}
	return time.Duration(all.ValueAtQuantile(q)) * time.Millisecond
}

// SkewAt returns a quantile, from 0 to 1, of the samples in Skew.
func (r *Result) SkewAt(q float64) float64 {
	if len(r.Skew) == 0 {
		return 0
	}
	s := slices.Clone(r.Skew)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
