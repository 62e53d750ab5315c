package fleet_test

// This file tests what a fleet does while the control group or an owner is away.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/client/caller"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// TestControlGroupAway kills every control replica: the routers keep serving,
// edits and claims are refused as not run, and all recovers.
func TestControlGroupAway(t *testing.T) {
	f := start(t, small())
	for i := range f.Shape.Replicas {
		require.NoError(t, f.Daemons[i].Signal(syscall.SIGKILL))
	}
	time.Sleep(5 * time.Second)
	// Two of five routers are left, which is no majority of the listed ones:
	// they can't prove their rules and must not serve.
	_, err := ask(&caller.Caller{
		Seeds: []string{f.Daemons[3].Address},
	}, generate(f, "c", "q-away", 5), nil)
	require.Equal(t, fault.RulesStale, fault.KindOf(err))
	for i := range f.Shape.Replicas {
		require.NoError(t, f.Restart(i))
	}
	require.NoError(t, f.AwaitReady(30*time.Second))
	frames, err := ask(&caller.Caller{
		Seeds: f.Addresses(),
	}, generate(f, "c", "q-back", 5), nil)
	require.NoError(t, err)
	require.EqualValues(t, 5, frames)
}

// TestFrozenOwner freezes a router that owns servers for longer than a lease:
// they get other owners, and when it wakes up it admits nothing to them.
func TestFrozenOwner(t *testing.T) {
	f := start(t, small())
	l := startLoad(f, 6)
	time.Sleep(time.Second)
	frozen := f.Daemons[4]
	owned := func(address string) []string {
		s, err := fleet.Dump(address)
		require.NoError(t, err)
		var names []string
		for _, b := range s.BackendServers {
			if b.Owner == frozen.Name {
				names = append(names, b.Name)
			}
		}
		return names
	}
	require.NotEmpty(t, owned(f.Daemons[3].Address))
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return len(owned(f.Daemons[3].Address)) == 0 }, 5*time.Second, 50*time.Millisecond)
	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	time.Sleep(2 * time.Second)
	l.end()
	require.Empty(t, l.lost)
	require.NotZero(t, l.requests.Load())
}

// TestServesWithoutControl kills every control replica of ten daemons: the
// seven routers left are a majority, so they can prove their rules and serve.
// A call that may not be repeated is not run, and not said to be.
func TestServesWithoutControl(t *testing.T) {
	s := fleet.Skeena()
	s.Engines = 4
	f := start(t, s)
	for i := range s.Replicas {
		require.NoError(t, f.Daemons[i].Signal(syscall.SIGKILL))
	}
	time.Sleep(5 * time.Second)
	c := &caller.Caller{
		Seeds: f.Addresses()[s.Replicas:],
	}
	for n := range 30 {
		frames, err := ask(c, generate(f, fmt.Sprintf("chat-%d", n%6), fmt.Sprintf("q-%d", n), 10), nil)
		require.NoError(t, err)
		require.EqualValues(t, 10, frames)
	}
	key := fmt.Sprintf("%d-without-control", time.Now().Unix())
	require.Equal(t, "inDoubt", book(f.Daemons[5].Address, key, 8*time.Second))
	counts, err := f.Executions()
	require.NoError(t, err)
	require.Zero(t, counts[key])
	for i := range s.Replicas {
		require.NoError(t, f.Restart(i))
	}
	require.NoError(t, f.AwaitReady(30*time.Second))
	// The router may still have to record that its claim did not run: the
	// answer settles within seconds, and then says what happened.
	outcome := ""
	require.Eventually(t, func() bool {
		outcome = book(f.Daemons[5].Address, key, 8*time.Second)
		return outcome != "inDoubt"
	}, 10*time.Second, 200*time.Millisecond)
	counts, err = f.Executions()
	require.NoError(t, err)
	require.Equal(t, outcome == "done", counts[key] == 1, "%s, ran %d times", outcome, counts[key])
}

// TestOrderOutlivesItsLeader kills the leader right after it has committed an
// order: its successor carries the order out.
func TestOrderOutlivesItsLeader(t *testing.T) {
	s := small()
	s.EngineFlags = []string{"-check-fence"}
	f := start(t, s)
	i, err := f.Leader()
	require.NoError(t, err)
	op := fleet.Operator(f.Daemons[4].Address)
	r, err := op.OrderEngine(context.Background(), connect.NewRequest(&pb.OrderEngineRequest{
		BackendServer: f.Engines[0].Name,
		Action:        "adapter",
		Argument:      "winter",
		Reason:        "test",
	}))
	require.NoError(t, err)
	require.NoError(t, f.Daemons[i].Signal(syscall.SIGKILL))
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + f.Engines[0].Address + "/orders")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(b), fmt.Sprintf("%q:", fmt.Sprint(r.Msg.GetOrderId())))
	}, 15*time.Second, 50*time.Millisecond)
}
