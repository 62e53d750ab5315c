package streamversion_test

// This file tests the records of the versions that began streams.

import (
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
		type stored struct {
			record streamversion.Record
			at     time.Duration
		}
		model := make(map[uint64]stored)
		var now time.Duration
		key := rapid.Uint64Range(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				k, r := key.Draw(t, "key"), drawRecord(t)
				want := r
				if before, ok := model[k]; ok && now-before.at < retention {
					want, _ = before.record.Merge(r)
				} else if old, known := tracker.Lookup(now, k); known {
					want, _ = old.Merge(r) // it may be kept for twice as long
				}
				tracker.Record(now, k, r)
				model[k] = stored{
					record: want,
					at:     now,
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "wait"))
			},
			"": func(t *rapid.T) {
				for k, want := range model {
					got, known := tracker.Lookup(now, k)
					if known {
						require.Equal(t, want.record, got)
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

func drawRecord(t *rapid.T) streamversion.Record {
	versions := []string{streamversion.Unknown, "v0", "v1", "v2"}
	return streamversion.Record{
		Version: rapid.SampledFrom(versions).Draw(t, "version"),
		Begun:   rapid.Bool().Draw(t, "begun"),
	}
}

// TestOrderOfRecordsDoesNotMatter guards against an instance that believes an overtaken record: the records of a
// stream that one version has begun say the same in any order, also beside those of older builds.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 6).Draw(t, "records")
		for i := range records {
			if records[i].Known() {
				records[i].Version = "v1"
			}
		}
		begun := streamversion.Record{
			Version: "v1",
			Begun:   true,
		}
		records = rapid.Permutation(append(records, begun)).Draw(t, "order")
		var tracker streamversion.Tracker
		for _, r := range records {
			require.False(t, tracker.Record(0, 1, r))
		}
		got, _ := tracker.Lookup(0, 1)
		require.Equal(t, begun, got)
	})
}
