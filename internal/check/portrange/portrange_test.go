package portrange

import (
	"net"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRangesAreDistinct checks that ranges held at the same time share no port,
// and that a released range can be reserved again.
func TestRangesAreDistinct(t *testing.T) {
	held := make(map[int]bool)
	for range 40 {
		r, release, err := New()
		require.NoError(t, err)
		defer release()
		require.False(t, held[r.First])
		held[r.First] = true
	}
}

// TestBelowEphemeralPorts checks that no range has a port which the operating
// system gives to outgoing connections.
func TestBelowEphemeralPorts(t *testing.T) {
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	bounds := strings.Fields(string(b))
	require.Equal(t, "32768", bounds[0])
	require.Less(t, lastPort, 32768)
}

// TestSkipsPortsInUse checks that a range in which a process listens is not
// returned.
func TestSkipsPortsInUse(t *testing.T) {
	r, release, err := New()
	require.NoError(t, err)
	l, err := net.Listen("tcp", r.Address("127.0.0.3", Size-1))
	require.NoError(t, err)
	require.False(t, r.free())
	require.NoError(t, l.Close())
	require.True(t, r.free())
	release()
}
