package observed_test

// This file tests that each broken promise is told, and kept ones are not.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/observed"
)

func TestBroken(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	once := observed.Attempt{ID: "a", Key: "k", Once: true, Sent: at(10)}
	for name, c := range map[string]struct {
		see    func(r *observed.Record)
		broken int
	}{
		"ran once":          {func(r *observed.Record) { r.Sent(once); r.Ran("a", "s1", at(10)) }, 0},
		"ran twice":         {func(r *observed.Record) { r.Sent(once); r.Ran("a", "s1", at(10)); r.Ran("a", "s2", at(11)) }, 1},
		"refused, then ran": {func(r *observed.Record) { r.Sent(once); r.Refused("a", 503); r.Ran("a", "s1", at(11)) }, 1},
		"ran, then refused": {func(r *observed.Record) { r.Sent(once); r.Ran("a", "s1", at(10)); r.Refused("a", 503) }, 1},
		"refused only":      {func(r *observed.Record) { r.Sent(once); r.Refused("a", 503) }, 0},
		"nobody sent it":    {func(r *observed.Record) { r.Ran("b", "s1", at(10)) }, 1},
		"key just taken away": {func(r *observed.Record) {
			r.Acknowledged(2, []string{"k"}, at(6))
			r.Sent(once)
			r.Ran("a", "s1", at(10))
		}, 0},
		"key taken away": {func(r *observed.Record) {
			r.Acknowledged(2, []string{"k"}, at(4))
			r.Sent(once)
			r.Ran("a", "s1", at(10))
		}, 1},
		"just leaving":     {func(r *observed.Record) { r.Leaving("s1", at(8)); r.Sent(once); r.Ran("a", "s1", at(10)) }, 0},
		"leaving":          {func(r *observed.Record) { r.Leaving("s1", at(2)); r.Sent(once); r.Ran("a", "s1", at(10)) }, 1},
		"newest is read":   {func(r *observed.Record) { r.Acknowledged(2, nil, at(1)); r.Read("d", 2, at(5)) }, 0},
		"older just after": {func(r *observed.Record) { r.Acknowledged(2, nil, at(1)); r.Read("d", 1, at(2)) }, 0},
		"older is read":    {func(r *observed.Record) { r.Acknowledged(2, nil, at(1)); r.Read("d", 1, at(5)) }, 1},
	} {
		r := &observed.Record{
			Bounds: observed.Bounds{
				Revoke:  5 * time.Second,
				InForce: 2 * time.Second,
				Drain:   3 * time.Second,
				Calm:    3 * time.Second,
			},
		}
		c.see(r)
		require.Len(t, r.Broken(), c.broken, name)
	}
}

// TestDisturbed: a bound on time does not bind while something is disturbed.
func TestDisturbed(t *testing.T) {
	r := &observed.Record{
		Bounds: observed.Bounds{
			Drain: time.Second,
			Calm:  time.Minute,
		},
	}
	r.Leaving("s1", time.Now().Add(-time.Hour))
	ends := r.Disturb()
	r.Sent(observed.Attempt{ID: "a", Sent: time.Now()})
	r.Ran("a", "s1", time.Now())
	ends()
	r.Sent(observed.Attempt{ID: "b", Sent: time.Now()})
	r.Ran("b", "s1", time.Now())
	require.Empty(t, r.Broken())
	r.Sent(observed.Attempt{ID: "c", Sent: time.Now().Add(2 * time.Minute)})
	r.Ran("c", "s1", time.Now())
	require.Len(t, r.Broken(), 1)
}
