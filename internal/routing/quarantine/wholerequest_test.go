package quarantine_test

// This file tests quarantines of whole requests beside suspected parts.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/quarantine"
)

// TestQuarantinedRequestKeepsTheBlameOfItsParts guards against a part whose third crash is put down to a
// whole request that was quarantined because of the same crash: the next prompt with the part
// would crash one more server.
func TestQuarantinedRequestKeepsTheBlameOfItsParts(t *testing.T) {
	const fingerprint = 99
	tracker := &quarantine.Tracker{}
	now := time.Second
	for _, server := range []string{"a", "b", "c"} {
		tracker.Crashed(now, server, quarantine.Request{
			GrantedAt:   now - 50*time.Millisecond,
			Begun:       true,
			Parts:       []uint64{common, deadly},
			Fingerprint: fingerprint,
		})
		if server != "c" {
			now += 200 * time.Millisecond
		}
	}
	// The request comes again at once, before the reports of the third crash are gathered.
	now += 10 * time.Millisecond
	tracker.AddRequest(now, time.Second, fingerprint, 0)
	now += gathered
	require.True(t, refused(tracker, now, common, deadly))
}

// TestAllRecordedRequestsAreRefused guards against recorded quarantines that an instance leaves out, as
// the log of the control group holds up to 512.
func TestAllRecordedRequestsAreRefused(t *testing.T) {
	tracker := &quarantine.Tracker{}
	var rows []quarantine.Quarantine
	for i := range uint64(300) {
		rows = append(rows, quarantine.Quarantine{
			ID:           i + 1,
			Parts:        []uint64{1000 + i},
			WholeRequest: true,
			FailedTrials: 3,
		})
	}
	tracker.SetRecorded(0, rows)
	passed := 0
	for i := range uint64(300) {
		if tracker.Peek(time.Second, quarantine.Request{
			Fingerprint: 1000 + i,
		}) == nil {
			passed++
		}
	}
	require.Zero(t, passed)
}
