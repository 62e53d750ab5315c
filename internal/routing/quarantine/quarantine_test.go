package quarantine_test

// This file tests which parts are quarantined, and how a quarantine ends.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/quarantine"
)

const (
	common  = 0xa // a part of many prompts
	subject = 0xb // a part of some prompts
	deadly  = 0xd // the part that crashes servers
	// gathered is longer than the reports of one crash are gathered.
	gathered = 60 * time.Millisecond
)

func nothingSurvived(uint64, time.Duration) bool { return false }

// endServer reports that a server went down with one begun request.
func crashServer(t *quarantine.Tracker, now time.Duration, server string, parts ...uint64) {
	t.Crashed(now, server, quarantine.Request{
		GrantedAt: now - 50*time.Millisecond,
		Begun:     true,
		Parts:     parts,
	})
}

// endServers ends n servers one after the other, 200 ms apart, and returns the time after.
func crashServers(t *quarantine.Tracker, now time.Duration, n int, parts ...uint64) time.Duration {
	for i := range n {
		crashServer(t, now, fmt.Sprintf("e%d", i), parts...)
		now += 200 * time.Millisecond
	}
	return now
}

func refused(t *quarantine.Tracker, now time.Duration, parts ...uint64) bool {
	return t.Check(now, quarantine.Request{
		Parts: parts,
	}, false, nothingSurvived) != nil
}

// TestThreeServersCrashedInTurn: the prompt is refused after it has crashed three servers one
// after the other, not before.
func TestThreeServersCrashedInTurn(t *testing.T) {
	tracker := &quarantine.Tracker{}
	now := crashServers(tracker, 0, 2, common, deadly)
	require.False(t, refused(tracker, now, common, deadly))
	crashServer(tracker, now, "e2", common, deadly)
	now += gathered
	require.True(t, refused(tracker, now, common, deadly))
	require.False(t, refused(tracker, now, common, subject), "a prompt with one of the parts passes")
}

// TestServersThatCrashTogether: servers that go down at the same time are no evidence
// against the prompts that run there, however many they are.
func TestServersThatCrashTogether(t *testing.T) {
	tracker := &quarantine.Tracker{}
	for i := range 9 {
		crashServer(tracker, time.Second, fmt.Sprintf("e%d", i), common)
	}
	require.False(t, refused(tracker, 3*time.Second, common))
}

// TestAnsweredPartIsCleared: a part that is in an answered request is taken out of the
// quarantine, which then refuses the deadly part in any prompt.
func TestAnsweredPartIsCleared(t *testing.T) {
	tracker := &quarantine.Tracker{}
	now := crashServers(tracker, 0, 3, common, subject, deadly)
	require.True(t, refused(tracker, now, common, subject, deadly))
	require.False(t, refused(tracker, now, common, deadly))
	tracker.Clear(now, now-time.Millisecond, []uint64{common, subject})
	require.True(t, refused(tracker, now, 0xe, deadly))
	require.False(t, refused(tracker, now, common, subject))
	changes := tracker.TakeChanges()
	require.Len(t, changes, 2)
	require.Equal(t, []uint64{deadly}, changes[1].Parts)
	require.Equal(t, changes[0].ID, changes[1].ID)
}

// TestOtherSubjectsNarrowTheParts: the deadly part comes with another subject once the
// first combination is quarantined; one more crash singles it out.
func TestOtherSubjectsNarrowTheParts(t *testing.T) {
	tracker := &quarantine.Tracker{}
	now := crashServers(tracker, 0, 3, subject, deadly)
	require.True(t, refused(tracker, now, subject, deadly))
	require.False(t, refused(tracker, now, 0xe, deadly))
	crashServer(tracker, now, "e7", 0xe, deadly)
	now += gathered
	require.True(t, refused(tracker, now, 0xf, deadly))
	require.False(t, refused(tracker, now, subject))
}

// TestQueuedRequestsAreNotBlamed: where the answer to one request had begun, those that
// were queued at the server are not blamed.
func TestQueuedRequestsAreNotBlamed(t *testing.T) {
	tracker := &quarantine.Tracker{}
	now := time.Duration(0)
	for i := range 4 {
		server := fmt.Sprintf("e%d", i)
		tracker.Crashed(now, server, quarantine.Request{
			GrantedAt: now - 10*time.Millisecond,
			Parts:     []uint64{subject},
		})
		crashServer(tracker, now+5*time.Millisecond, server, deadly)
		now += 200 * time.Millisecond
	}
	require.True(t, refused(tracker, now, deadly))
	require.False(t, refused(tracker, now, subject))
}

// TestTrialsEndTheQuarantine: one request at a time is let through after a pause. If it
// crashes a server the pause doubles; if it is answered the quarantine ends.
func TestTrialsEndTheQuarantine(t *testing.T) {
	tracker := &quarantine.Tracker{}
	now := crashServers(tracker, 0, 3, deadly)
	require.True(t, refused(tracker, now, deadly))
	try := func() bool {
		r := quarantine.Request{
			Parts: []uint64{deadly},
		}
		if tracker.Check(now, r, true, nothingSurvived) != nil {
			return false
		}
		tracker.Sent(now, r)
		return true
	}
	require.False(t, try())
	now += 30 * time.Second
	require.True(t, refused(tracker, now, deadly), "only the decider tries")
	require.True(t, try())
	require.False(t, try(), "one trial at a time")
	now += 100 * time.Millisecond
	crashServer(tracker, now, "e5", deadly)
	now += 30 * time.Second
	require.False(t, try())
	now += 31 * time.Second
	require.True(t, try())
	tracker.Clear(now+time.Second, now, []uint64{deadly})
	require.False(t, refused(tracker, now+time.Second, deadly))
	changes := tracker.TakeChanges()
	require.True(t, changes[len(changes)-1].Released)
}

// TestRequestTrialsAreFew guards against a request that crashes its servers and is tried for ever: it
// gets three trials, after pauses that grow, also where a trial has no outcome.
func TestRequestTrialsAreFew(t *testing.T) {
	const fingerprint = 9
	tracker := &quarantine.Tracker{}
	tracker.AddRequest(0, 0, fingerprint, 0)
	r := quarantine.Request{
		Parts:       []uint64{common},
		Fingerprint: fingerprint,
	}
	require.NotNil(t, tracker.Check(time.Second, r, true, nothingSurvived))
	require.False(t, refused(tracker, time.Second, common), "no other request is refused")
	var trials []time.Duration
	for now := time.Duration(0); now < 48*time.Hour; now += 500 * time.Millisecond {
		if tracker.Check(now, r, true, nothingSurvived) != nil {
			continue
		}
		tracker.Sent(now, r)
		trials = append(trials, now.Truncate(time.Second))
		if len(trials) > 1 { // the first has no outcome
			tracker.CrashRequest(now+40*time.Millisecond, now, fingerprint)
		}
	}
	require.Equal(t, []time.Duration{5 * time.Second, 335 * time.Second, 635 * time.Second}, trials)
	changes := tracker.TakeChanges()
	last := changes[len(changes)-1]
	require.True(t, last.WholeRequest)
	require.Equal(t, 3, last.FailedTrials)
	next := &quarantine.Tracker{}
	next.SetRecorded(0, []quarantine.Quarantine{last})
	require.NotNil(t, next.Check(48*time.Hour, r, true, nothingSurvived), "the next decider counts its trials")
	next.SetRecorded(time.Second, nil)
	require.Nil(t, next.Check(time.Minute, r, true, nothingSurvived), "an operator has ended it")
}

// TestInconclusiveTrialIsRepeated guards against a sound request that is shut out for long because the
// caller of its trial left: it is tried again after the same pause, and three such trials count
// as a failed one.
func TestInconclusiveTrialIsRepeated(t *testing.T) {
	tracker := &quarantine.Tracker{}
	tracker.AddRequest(0, 0, 9, 0)
	r := quarantine.Request{
		Fingerprint: 9,
	}
	for _, at := range []time.Duration{5 * time.Second, 10 * time.Second, 15 * time.Second, 45 * time.Second} {
		require.NotNil(t, tracker.Check(at-time.Second, r, true, nothingSurvived))
		require.Nil(t, tracker.Check(at, r, true, nothingSurvived))
		tracker.Sent(at, r)
		tracker.EndRequest(at, at, 9)
	}
}

// TestOneRequestIsTriedAtATime guards against trials of requests that were in flight together, of which
// one crashes its server under all of them again.
func TestOneRequestIsTriedAtATime(t *testing.T) {
	tracker := &quarantine.Tracker{}
	tracker.AddRequest(0, 0, 1, 0)
	tracker.AddRequest(0, 0, 2, 0)
	check := func(now time.Duration, fingerprint uint64) bool {
		return tracker.Check(now, quarantine.Request{
			Fingerprint: fingerprint,
		}, true, nothingSurvived) == nil
	}
	now := 5 * time.Second
	require.True(t, check(now, 1))
	require.True(t, check(now, 2), "none is sent yet")
	tracker.Sent(now, quarantine.Request{
		Fingerprint: 1,
	})
	require.False(t, check(now, 1))
	require.False(t, check(now, 2))
	tracker.WithdrawRequest(now, 1)
	require.True(t, check(now, 2), "no server has run the trial")
	tracker.Sent(now, quarantine.Request{
		Fingerprint: 2,
	})
	tracker.ClearRequest(now, now, 2)
	require.True(t, check(now, 1))
	changes := tracker.TakeChanges()
	require.True(t, changes[len(changes)-1].Released)
}

// TestRecordedQuarantine: another instance refuses what is recorded, until it no longer is.
func TestRecordedQuarantine(t *testing.T) {
	tracker := &quarantine.Tracker{}
	tracker.SetRecorded(0, []quarantine.Quarantine{{ID: 1, Parts: []uint64{deadly}}})
	require.True(t, refused(tracker, time.Second, common, deadly))
	tracker.SetRecorded(time.Second, []quarantine.Quarantine{{ID: 2, Parts: []uint64{subject}}})
	require.False(t, refused(tracker, time.Second, common, deadly))
	require.True(t, refused(tracker, time.Second, subject))
}

// TestInventedPartsAreBounded: callers whose prompts have new parts each time, in flight
// at servers that go down, do not fill the memory.
func TestInventedPartsAreBounded(t *testing.T) {
	tracker := &quarantine.Tracker{}
	now := time.Duration(0)
	for i := range uint64(3000) {
		now += 100 * time.Millisecond
		crashServer(tracker, now, fmt.Sprintf("e%d", i), 1000+5*i, 1001+5*i, 1002+5*i)
		require.False(t, refused(tracker, now, common))
	}
	now = crashServers(tracker, now+gathered, 3, deadly)
	require.True(t, refused(tracker, now, deadly))
	require.Equal(t, 1, tracker.Len())
}

// TestMachineOnlyTheDeadlyPart runs random traffic over servers that also go down by
// themselves. The deadly part must end up refused in every prompt, and no prompt without
// it may be refused once the traffic has gone on for a while.
func TestMachineOnlyTheDeadlyPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 5))
		spontaneous := rapid.Float64Range(0, 0.01).Draw(rt, "spontaneous")
		tracker := &quarantine.Tracker{}
		type request struct {
			grantedAt time.Duration
			parts     []uint64
		}
		running := make(map[string][]request)
		downUntil := make(map[string]time.Duration)
		crash := func(now time.Duration, server string) {
			for _, r := range running[server] {
				age := now - r.grantedAt
				if age >= 80*time.Millisecond {
					tracker.Clear(now, r.grantedAt, r.parts)
					continue
				}
				tracker.Crashed(now, server, quarantine.Request{
					GrantedAt: r.grantedAt,
					Begun:     age >= 30*time.Millisecond,
					Parts:     r.parts,
				})
			}
			running[server] = nil
			downUntil[server] = now + 3*time.Second
		}
		deadlySince, othersRefused := time.Duration(0), 0
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			for i := range 9 {
				server := fmt.Sprintf("e%d", i)
				if now < downUntil[server] {
					continue
				}
				if rng.Float64() < spontaneous/10 {
					crash(now, server)
				}
				rest := running[server][:0]
				crashes := false
				for _, r := range running[server] {
					isDeadly := r.parts[len(r.parts)-1] == deadly
					switch age := now - r.grantedAt; {
					case isDeadly && age >= 60*time.Millisecond:
						crashes = true
						rest = append(rest, r)
					case age >= 300*time.Millisecond:
						tracker.Clear(now, r.grantedAt, r.parts)
					default:
						rest = append(rest, r)
					}
				}
				running[server] = rest
				if crashes {
					crash(now, server)
				}
			}
			parts := []uint64{uint64(1 + rng.IntN(4)), uint64(100 + rng.IntN(40))}
			isDeadly := rng.IntN(20) == 0
			if isDeadly {
				parts = append(parts, deadly)
			}
			if refused(tracker, now, parts...) {
				if !isDeadly && now > 10*time.Second {
					othersRefused++
				}
				continue
			}
			if isDeadly {
				deadlySince = now
			}
			server := fmt.Sprintf("e%d", rng.IntN(9))
			if now >= downUntil[server] {
				running[server] = append(running[server], request{
					grantedAt: now,
					parts:     parts,
				})
			}
		}
		require.Less(rt, deadlySince, 10*time.Second, "the deadly part still passes")
		require.Zero(rt, othersRefused)
	})
}
