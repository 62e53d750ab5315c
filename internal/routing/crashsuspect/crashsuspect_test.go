package crashsuspect_test

import (
	"fmt"
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

// TestRequestIsGuiltyAfterTwoCrashesInARow guards against a request that ends one server after the
// other.
func TestRequestIsGuiltyAfterTwoCrashesInARow(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(1*second, "a", 0, request)
	require.False(t, tr.Check(1*second, request).Guilty, "any request beside the guilty one has one crash")
	tr.Sent(1*second, request)
	require.Zero(t, tr.Check(1*second, request).RetryAfter, "callers with the same request come back together")
	tr.Crashed(2*second, "b", 1*second, request)
	v := tr.Check(2*second, request)
	require.True(t, v.Guilty)
	require.Equal(t, 1*second, v.Since)
	require.Zero(t, v.LateSends)
}

// TestRestartedServerCrashesAgain: a server that is back under its name has crashed twice.
func TestRestartedServerCrashesAgain(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(1*second, "a", 0, request)
	tr.Crashed(2*second, "a", 1500*time.Millisecond, request)
	require.True(t, tr.Check(2*second, request).Guilty)
}

// TestLateSendsAreCounted guards against more trials than are allowed for a request that was sent to
// three servers at the same time before any of them had crashed.
func TestLateSendsAreCounted(t *testing.T) {
	var tr crashsuspect.Tracker
	for i := range 3 {
		tr.Crashed(1*second, fmt.Sprint(i), 0, request)
	}
	require.False(t, tr.Check(2*second, request).Guilty)
	tr.Sent(2*second, request)
	require.Positive(t, tr.Check(2*second, request).RetryAfter, "one at a time")
	tr.Ended(2*second, request)
	require.Zero(t, tr.Check(2*second, request).RetryAfter, "a server refused it")
	tr.Sent(3*second, request)
	tr.Crashed(4*second, "d", 3*second, request)
	v := tr.Check(4*second, request)
	require.True(t, v.Guilty)
	require.Equal(t, 2, v.LateSends)
}

// TestServersThatCrashTogetherAreOneCrash guards against innocent requests that are shut out when
// servers crash at the same time for a reason of their own.
func TestServersThatCrashTogetherAreOneCrash(t *testing.T) {
	var tr crashsuspect.Tracker
	for i := range 5 {
		tr.Crashed(2*second, fmt.Sprint(i), 1*second, request)
	}
	require.False(t, tr.Check(2*second, request).Guilty)
}

// TestExplainedCrashCountsForNoOther guards against innocent requests beside a guilty one, in whichever
// order the reports come.
func TestExplainedCrashCountsForNoOther(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(1*second, "a", 0, request)
	tr.Explained(1*second, "a", 0)
	tr.Explained(3*second, "b", 2*second)
	tr.Crashed(3*second, "b", 2*second, request)
	require.Equal(t, crashsuspect.Verdict{}, tr.Check(3*second, request))
	require.True(t, tr.Idle())
}

// TestServerThatRespondsHasNotCrashed guards against a request that is shut out because the
// connections of one instance break.
func TestServerThatRespondsHasNotCrashed(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(2*second, "a", 1*second, request)
	tr.Responded("a", 3*second)
	require.Equal(t, 2*second, tr.Check(2*second, request).Since, "it may be back")
	tr.Responded("a", 1*second)
	require.Equal(t, crashsuspect.Verdict{}, tr.Check(2*second, request))
}

// TestNotedCrashCounts guards against a decider that takes over and waits for two crashes of its own;
// and against one that shuts out a request for crashes of long ago, which others have survived
// since.
func TestNotedCrashCounts(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Noted(1*second, "a", 0, request)
	tr.Crashed(2*second, "b", 1*second, request)
	require.True(t, tr.Check(2*second, request).Guilty)
	tr = crashsuspect.Tracker{}
	tr.Noted(1*second, "a", 0, request)
	tr.Crashed(40*second, "b", 39*second, request)
	require.False(t, tr.Check(40*second, request).Guilty)
}

// TestCallerThatLeftIsSuspected guards against a request whose callers leave before its server crashes.
func TestCallerThatLeftIsSuspected(t *testing.T) {
	var tr crashsuspect.Tracker
	for i := range 2 {
		now := time.Duration(i+1) * second
		tr.Left(now, "a", now-10*time.Millisecond, request)
		tr.Left(now, "b", now-10*time.Millisecond, request+1)
		tr.Crashed(now+20*time.Millisecond, "a", now, request+2)
	}
	require.True(t, tr.Check(3*second, request).Guilty)
	require.Equal(t, crashsuspect.Verdict{}, tr.Check(3*second, request+1))
}

// TestSurvivedRequestIsNoSuspect guards against a request that many callers send and that is
// shut out because servers crash now and then.
func TestSurvivedRequestIsNoSuspect(t *testing.T) {
	var tr crashsuspect.Tracker
	tr.Crashed(1*second, "a", 0, request)
	tr.Survived(0, request)
	require.False(t, tr.Idle(), "sent before the crash")
	tr.Survived(1*second, request)
	require.True(t, tr.Idle())
}

// TestMachineGuiltyAfterTwoInARow: servers crash at random, and one request crashes each of its
// servers. A request is guilty if and only if the last two servers that ran it have crashed.
func TestMachineGuiltyAfterTwoInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr crashsuspect.Tracker
		inRow := make(map[uint64]int)
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			fp := rapid.Uint64Range(1, 4).Draw(t, "request")
			v := tr.Check(now, fp)
			require.Equal(t, inRow[fp] >= 2, v.Guilty)
			if v.Guilty || v.RetryAfter > 0 {
				continue
			}
			tr.Sent(now, fp)
			sentAt := now
			now += 50 * time.Millisecond
			if fp == 1 || rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
				tr.Crashed(now, fmt.Sprint(i), sentAt, fp)
				inRow[fp]++
				continue
			}
			tr.Survived(sentAt, fp)
			inRow[fp] = 0
		}
	})
}

// TestSuspectsAreBounded guards against memory that grows with the requests that callers invent.
func TestSuspectsAreBounded(t *testing.T) {
	var tr crashsuspect.Tracker
	for fp := range uint64(5000) {
		tr.Crashed(time.Duration(fp+1), fmt.Sprint(fp), 0, fp+1)
	}
	require.Equal(t, crashsuspect.Verdict{}, tr.Check(second, 1), "the oldest are dropped")
	require.NotZero(t, tr.Check(second, 5000).Since)
}
