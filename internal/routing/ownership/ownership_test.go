package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func TestAdmits(t *testing.T) {
	s := &pb.BackendServer{
		Name:             "s",
		Owner:            "n",
		OwnerIncarnation: 2,
		Epoch:            7,
	}
	tracker := Tracker{
		Instance:    "n",
		Incarnation: 2,
	}
	require.False(t, tracker.Admits(0, s), "no lease has been granted")
	tracker.Renew(time.Second, 2*time.Second)
	require.True(t, tracker.Admits(2999*time.Millisecond, s))
	require.False(t, tracker.Admits(3*time.Second, s), "the lease starts when the heartbeat was sent")
	tracker.Renew(0, time.Second)
	require.True(t, tracker.Admits(2*time.Second, s), "the grant of an older heartbeat must not shorten the lease")
	tracker.SetFrozen([]string{"s"})
	require.False(t, tracker.Admits(2*time.Second, s))
	tracker.SetFrozen(nil)
	tracker.Release(s)
	require.False(t, tracker.Admits(2*time.Second, s))
	s.Epoch = 8
	require.True(t, tracker.Admits(2*time.Second, s), "a later epoch is a new assignment")
	s.Leaving = true
	require.False(t, tracker.Admits(2*time.Second, s))
	s.Leaving, s.OwnerIncarnation = false, 1
	require.False(t, tracker.Admits(2*time.Second, s), "assigned to an earlier incarnation of this instance")
}
