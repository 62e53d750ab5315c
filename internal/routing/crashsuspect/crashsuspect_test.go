package crashsuspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/crashsuspect"
)

const (
	request = uint64(7)
	second  = time.Second
)

// TestSuspectIsHeldOffThenGuilty guards against a request that ends one server after the other
// without a pause in between.
func TestSuspectIsHeldOffThenGuilty(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(1*second, 0, request)
	require.Zero(t, tr.Check(1*second, request).HoldOff, "any request beside the guilty one has one crash")
	tr.Crashed(2*second, 1*second, request)
	require.Equal(t, 5*second, tr.Check(2*second, request).HoldOff)
	require.Equal(t, []uint64{request}, tr.TakeHeldOff())
	require.Empty(t, tr.TakeHeldOff())
	require.Zero(t, tr.Check(7*second, request).HoldOff)
	tr.Sent(7*second, request)
	require.Positive(t, tr.Check(7*second, request).HoldOff, "one at a time")
	tr.Ended(7*second, request)
	require.Zero(t, tr.Check(7*second, request).HoldOff, "a server refused it")
	tr.Sent(7*second, request)
	require.False(t, tr.Check(7*second, request).Guilty)
	tr.Crashed(8*second, 7*second, request)
	require.True(t, tr.Check(8*second, request).Guilty)
	require.Equal(t, 1*second, tr.Check(8*second, request).Since)
	require.Zero(t, tr.Check(8*second, request).LateSends)
}

// TestLateSendsAreCounted guards against more trials than are allowed for a request that was sent to
// three servers at the same time before any of them had crashed.
func TestLateSendsAreCounted(t *testing.T) {
	var tr crashsuspect.Tracker
	for range 3 {
		tr.Crashed(1*second, 0, request)
	}
	for _, at := range []time.Duration{2 * second, 8 * second} {
		require.False(t, tr.Check(at, request).Guilty)
		require.Zero(t, tr.Check(at, request).HoldOff)
		tr.Sent(at, request)
		tr.Crashed(at+second, at, request)
	}
	v := tr.Check(9*second, request)
	require.True(t, v.Guilty)
	require.Equal(t, 2, v.LateSends)
}

// TestServersThatCrashTogetherAreOneCrash guards against innocent requests that are shut out when
// servers crash at the same time for a reason of their own.
func TestServersThatCrashTogetherAreOneCrash(t *testing.T) {
	var tr crashsuspect.Tracker
	for range 5 {
		tr.Crashed(2*second, 1*second, request)
	}
	require.Equal(t, crashsuspect.Verdict{Since: 2 * second}, tr.Check(2*second, request))
}

// TestSurvivedRequestIsNoSuspect guards against a request that many callers send and that is
// shut out because servers crash now and then.
func TestSurvivedRequestIsNoSuspect(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(1*second, 0, request)
	tr.Survived(0, request)
	require.False(t, tr.Idle(), "sent before the crash")
	tr.Survived(1*second, request)
	require.True(t, tr.Idle())
}

// TestMachineInnocentRequestsAreNeverGuilty: servers crash at random, and one request crashes each
// of its servers; others are guilty only after three crashes in a row without a response.
// The guilty one is sent to servers three times at most.
func TestMachineInnocentRequestsAreNeverGuilty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr crashsuspect.Tracker
		inRow := make(map[uint64]int)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			fp := rapid.Uint64Range(1, 4).Draw(t, "request")
			v := tr.Check(now, fp)
			require.Equal(t, inRow[fp] >= 3, v.Guilty)
			if v.Guilty || v.HoldOff > 0 {
				continue
			}
			tr.Sent(now, fp)
			sentAt := now
			now += 50 * time.Millisecond
			if fp == 1 || rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
				tr.Crashed(now, sentAt, fp)
				inRow[fp]++
				continue
			}
			tr.Survived(sentAt, fp)
			inRow[fp] = 0
		}
		require.LessOrEqual(t, inRow[1], 3)
	})
}

// TestSuspectsAreBounded guards against memory that grows with the requests that callers invent.
func TestSuspectsAreBounded(t *testing.T) {
	var tr crashsuspect.Tracker
	for fp := range uint64(5000) {
		tr.Crashed(time.Duration(fp), 0, fp+1)
	}
	require.Equal(t, crashsuspect.Verdict{}, tr.Check(second, 1), "the oldest are dropped")
	require.NotZero(t, tr.Check(second, 5000).Since)
}
