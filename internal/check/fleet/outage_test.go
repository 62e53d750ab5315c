package fleet_test

// This file tests a fleet while its control group, the control leader or the
// owner of backend servers is down or frozen. A frozen process is suspended by
// SIGSTOP.

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

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/client/caller"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestControlGroupDown kills all three control replicas of five daemons. The two
// routers left must refuse requests, because their rules may be out of date, and
// the fleet must serve again once the replicas are restarted.
func TestControlGroupDown(t *testing.T) {
	f := start(t, smallFleet())
	for i := range f.Topology.Replicas {
		require.NoError(t, f.Daemons[i].Signal(syscall.SIGKILL))
	}
	time.Sleep(5 * time.Second)
	// Two of five routers are not a majority of the listed ones, so they can't
	// confirm that their rules are the latest version and must not serve.
	_, err := sendGenerate(&caller.Caller{
		Seeds: []string{f.Daemons[3].Address},
	}, generateRequest(f, "c", "q-while-down", 5), nil)
	require.Equal(t, fault.RulesStale, fault.KindOf(err))
	for i := range f.Topology.Replicas {
		require.NoError(t, f.Restart(i))
	}
	require.NoError(t, f.AwaitReady(30*time.Second))
	frames, err := sendGenerate(&caller.Caller{
		Seeds: f.Addresses(),
	}, generateRequest(f, "c", "q-after-restart", 5), nil)
	require.NoError(t, err)
	require.EqualValues(t, 5, frames)
}

// TestFrozenOwner freezes a router that owns backend servers, for longer than its
// lease. The servers must get other owners, and no request may be lost, neither
// while the router is frozen nor after it continues.
func TestFrozenOwner(t *testing.T) {
	f := start(t, smallFleet())
	l := startLoad(f, 6)
	time.Sleep(time.Second)
	frozen := f.Daemons[4]
	owned := func(address string) []string {
		s, err := fleet.ReadDump(address)
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
	l.stopAndWait()
	require.Empty(t, l.failures)
	require.NotZero(t, l.requests.Load())
}

// TestServesWithoutControlGroup kills all three control replicas of ten daemons.
// The seven routers left are a majority, so they can confirm that their rules are
// the latest version and must serve. A non-idempotent call can't be claimed: it
// must not run and must be answered as in doubt.
func TestServesWithoutControlGroup(t *testing.T) {
	topology := fleet.Skeena()
	topology.Engines = 4
	f := start(t, topology)
	for i := range topology.Replicas {
		require.NoError(t, f.Daemons[i].Signal(syscall.SIGKILL))
	}
	time.Sleep(5 * time.Second)
	c := &caller.Caller{
		Seeds: f.Addresses()[topology.Replicas:],
	}
	for n := range 30 {
		frames, err := sendGenerate(c, generateRequest(f, fmt.Sprintf("chat-%d", n%6), fmt.Sprintf("q-%d", n), 10), nil)
		require.NoError(t, err)
		require.EqualValues(t, 10, frames)
	}
	key := fmt.Sprintf("%d-without-control", time.Now().Unix())
	require.Equal(t, "inDoubt", callBookVisit(f.Daemons[5].Address, key, 8*time.Second))
	counts, err := f.Executions()
	require.NoError(t, err)
	require.Zero(t, counts[key])
	for i := range topology.Replicas {
		require.NoError(t, f.Restart(i))
	}
	require.NoError(t, f.AwaitReady(30*time.Second))
	// The router may still have to record that the call did not run. Until then
	// the call stays in doubt; after that the answer must agree with the
	// executions.
	outcome := ""
	require.Eventually(t, func() bool {
		outcome = callBookVisit(f.Daemons[5].Address, key, 8*time.Second)
		return outcome != "inDoubt"
	}, 10*time.Second, 200*time.Millisecond)
	counts, err = f.Executions()
	require.NoError(t, err)
	require.Equal(t, outcome == "done", counts[key] == 1, "%s, ran %d times", outcome, counts[key])
}

// TestOrderSurvivesLeaderFailure kills the control leader right after it has
// committed an order for an engine. The next leader must send it to the engine.
func TestOrderSurvivesLeaderFailure(t *testing.T) {
	topology := smallFleet()
	topology.EngineFlags = []string{"-check-fence"}
	f := start(t, topology)
	i, err := f.Leader()
	require.NoError(t, err)
	op := fleet.NewOperatorClient(f.Daemons[4].Address)
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
