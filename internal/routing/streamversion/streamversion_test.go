package streamversion_test

// This file tests the records of the versions that began streams.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/streamversion"
)

// TestMachineTracker compares a Tracker with a model. It guards against a version that is taken
// for another one when versions without records are dropped, and against records that are lost
// before their time or never.
func TestMachineTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = 10 * time.Second
		tracker := streamversion.Tracker{
			Retention: retention,
		}
		type record struct {
			version string
			at      time.Duration
		}
		model := make(map[uint64]record)
		var now time.Duration
		key := rapid.Uint64Range(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				k, version := key.Draw(t, "key"), fmt.Sprintf("v%d", rapid.IntRange(0, 5).Draw(t, "version"))
				tracker.Record(now, k, version)
				model[k] = record{version: version, at: now}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "wait"))
			},
			"": func(t *rapid.T) {
				for k, want := range model {
					got, known := tracker.Version(now, k)
					if known {
						require.Equal(t, want.version, got)
					}
					if now-want.at < retention {
						require.True(t, known, "a record is lost before its time")
					}
					if now-want.at >= 2*retention {
						require.False(t, known, "a record is kept for too long")
					}
				}
			},
		})
	})
}
