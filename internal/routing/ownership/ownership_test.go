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
	b := Tracker{
		Instance:    "n",
		Incarnation: 2,
	}
	require.False(t, b.Admits(0, s), "no lease has been granted")
	b.Renew(time.Second, 2*time.Second)
	require.True(t, b.Admits(2999*time.Millisecond, s))
	require.False(t, b.Admits(3*time.Second, s), "the lease starts when the heartbeat was sent")
	b.Renew(0, time.Second)
	require.True(t, b.Admits(2*time.Second, s), "the grant of an older heartbeat must not shorten the lease")
	b.SetFrozen([]string{"s"})
	require.False(t, b.Admits(2*time.Second, s))
	b.SetFrozen(nil)
	b.Release(s)
	require.False(t, b.Admits(2*time.Second, s))
	s.Epoch = 8
	require.True(t, b.Admits(2*time.Second, s), "a later epoch is a new assignment")
	s.Leaving = true
	require.False(t, b.Admits(2*time.Second, s))
	s.Leaving, s.OwnerIncarnation = false, 1
	require.False(t, b.Admits(2*time.Second, s), "assigned to an earlier incarnation of this instance")
}
