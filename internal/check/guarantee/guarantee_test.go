package guarantee_test

// This file tests that each violated guarantee is reported, and that observations
// within the bounds are not.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

func TestViolations(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	once := guarantee.Attempt{ID: "a", Key: "k", AtMostOnce: true, Sent: at(10)}
	for name, c := range map[string]struct {
		observe    func(r *guarantee.Record)
		violations int
	}{
		"executed once":           {func(r *guarantee.Record) { r.Sent(once); r.Executed("a", "s1", at(10)) }, 0},
		"executed twice":          {func(r *guarantee.Record) { r.Sent(once); r.Executed("a", "s1", at(10)); r.Executed("a", "s2", at(11)) }, 1},
		"refused, then executed":  {func(r *guarantee.Record) { r.Sent(once); r.Refused("a", 503); r.Executed("a", "s1", at(11)) }, 1},
		"executed, then refused":  {func(r *guarantee.Record) { r.Sent(once); r.Executed("a", "s1", at(10)); r.Refused("a", 503) }, 1},
		"refused only":            {func(r *guarantee.Record) { r.Sent(once); r.Refused("a", 503) }, 0},
		"executed but never sent": {func(r *guarantee.Record) { r.Executed("b", "s1", at(10)) }, 1},
		"key revoked within the bound": {func(r *guarantee.Record) {
			r.Acknowledged(2, []string{"k"}, at(6))
			r.Sent(once)
			r.Executed("a", "s1", at(10))
		}, 0},
		"key revoked for longer than the bound": {func(r *guarantee.Record) {
			r.Acknowledged(2, []string{"k"}, at(4))
			r.Sent(once)
			r.Executed("a", "s1", at(10))
		}, 1},
		"draining within the bound":           {func(r *guarantee.Record) { r.Draining("s1", at(8)); r.Sent(once); r.Executed("a", "s1", at(10)) }, 0},
		"draining for longer than the bound":  {func(r *guarantee.Record) { r.Draining("s1", at(2)); r.Sent(once); r.Executed("a", "s1", at(10)) }, 1},
		"newest version read":                 {func(r *guarantee.Record) { r.Acknowledged(2, nil, at(1)); r.ReadVersion("d", 2, at(5)) }, 0},
		"older version read within the bound": {func(r *guarantee.Record) { r.Acknowledged(2, nil, at(1)); r.ReadVersion("d", 1, at(2)) }, 0},
		"older version read after the bound":  {func(r *guarantee.Record) { r.Acknowledged(2, nil, at(1)); r.ReadVersion("d", 1, at(5)) }, 1},
	} {
		r := &guarantee.Record{
			Bounds: guarantee.Bounds{
				Revoke:    5 * time.Second,
				Propagate: 2 * time.Second,
				Drain:     3 * time.Second,
				Recovery:  3 * time.Second,
			},
		}
		c.observe(r)
		require.Len(t, r.Violations(), c.violations, name)
	}
}

// TestBoundsDuringFaults: the bound on draining is not checked while a fault is
// active, nor within Bounds.Recovery after it, and is checked again from then on.
func TestBoundsDuringFaults(t *testing.T) {
	r := &guarantee.Record{
		Bounds: guarantee.Bounds{
			Drain:    time.Second,
			Recovery: time.Minute,
		},
	}
	r.Draining("s1", time.Now().Add(-time.Hour))
	endFault := r.BeginFault()
	r.Sent(guarantee.Attempt{ID: "a", Sent: time.Now()})
	r.Executed("a", "s1", time.Now())
	endFault()
	r.Sent(guarantee.Attempt{ID: "b", Sent: time.Now()})
	r.Executed("b", "s1", time.Now())
	require.Empty(t, r.Violations())
	r.Sent(guarantee.Attempt{ID: "c", Sent: time.Now().Add(2 * time.Minute)})
	r.Executed("c", "s1", time.Now())
	require.Len(t, r.Violations(), 1)
}
