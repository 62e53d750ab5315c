package manager_test

// This file tests the cold periods that the platform's list announces.

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/memorydisk"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// coldList lists a server with a cold period.
type coldList struct {
	partialList
}

// setCold sets how much longer the server is cold, as the list shows it after a lag.
func (l *coldList) setCold(left time.Duration) {
	s := listed("a", false)
	s.ColdMs = uint32(max(left, 0).Milliseconds())
	l.set(false, s)
}

// TestColdPeriodChangesTheRowOnce: the list is read often and counts a cold period down. The
// row of the server must change when a period begins, is extended and ends, and not at each
// read: each change is sent to all instances, where it would begin a period.
func TestColdPeriodChangesTheRowOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		r, stop, err := replica.Start(replica.Config{
			Now:  func() time.Duration { return time.Since(started) },
			Name: "r0",
			Peers: map[string]string{
				"r0": "r0",
			},
			Storage: &memorydisk.Disk{},
			Stored:  (&memorydisk.Disk{}).Contents(),
			Logger:  discardLogger(),
		})
		require.NoError(t, err)
		defer stop()
		list := &coldList{}
		list.setCold(0)
		_, stopManager := manager.Start(manager.Config{
			Replica:          r,
			Platform:         list,
			Logger:           discardLogger(),
			WithoutOwnership: true,
		})
		defer stopManager()
		time.Sleep(20 * time.Second)
		row := func() *pb.BackendServer { return r.Ledger.Server("a") }
		require.Zero(t, row().GetColdIndex())

		// countDown lets the list show a period as it passes, and returns the indexes of the
		// announcements in the row.
		countDown := func(period, span time.Duration) map[uint64]uint32 {
			seen := make(map[uint64]uint32)
			end := time.Now().Add(period)
			for stop := time.Now().Add(span); time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
				list.setCold(time.Until(end))
				if row().GetColdMs() > 0 {
					seen[row().GetColdIndex()] = row().GetColdMs()
				}
			}
			return seen
		}
		first := countDown(30*time.Second, 10*time.Second)
		require.Len(t, first, 1)
		extended := countDown(28*time.Second, 40*time.Second)
		require.Len(t, extended, 2, "the period before, and its extension")
		require.Zero(t, row().GetColdMs(), "the period is over")
		index := row().GetColdIndex()
		require.Equal(t, index, row().GetChangedIndex()-uint64(1), "one change began the extension and one ended it")
		again := countDown(30*time.Second, 10*time.Second)
		require.Len(t, again, 1)
		require.Greater(t, row().GetColdIndex(), index)
		require.Equal(t, row().GetColdIndex(), row().GetChangedIndex())
	})
}
