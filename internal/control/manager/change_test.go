package manager_test

// This file tests a change of many routes in a large fleet. The leader sends the
// change to every instance, in replies to heartbeats that share one link and have
// to arrive before they time out.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// addedRoutes is the number of routes that the change adds.
	addedRoutes = 1120
	// linkBytesPerSecond is the capacity of the leader's link, 100 Mbit/s.
	// concurrentRouters is how many instances send a heartbeat within
	// heartbeatTimeout, the timeout of one attempt.
	linkBytesPerSecond = 100_000_000 / 8
	concurrentRouters  = 81
	heartbeatTimeout   = 300 * time.Millisecond
)

// manyRoutes returns a rule file with n routes.
func manyRoutes(n int) string {
	rng := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	b.WriteString("service llm type=engine # ops: test\n")
	for range n {
		fmt.Fprintf(&b, "route r-%07x host=a%d.example prefix=/%08x/ kind=stream to=llm timeout=6s objective=400ms gap=250ms attempts=2 affine=yes resume=yes # ops: test\n",
			rng.Uint32(), rng.IntN(9), rng.Uint32())
	}
	return b.String()
}

// TestLargeRuleChangeFitsLink checks that a reply that carries a large rule change
// or the whole rule file is small enough for the link to carry the replies to all
// concurrent heartbeats within their timeout.
func TestLargeRuleChangeFitsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, t.Errorf, 1)
		defer sim.close()
		c := client{
			sim:  sim,
			from: "operator",
		}
		apply := func(base uint64, text string) {
			require.Eventually(t, func() bool {
				_, err := c.ApplyRules(t.Context(), &pb.ApplyRulesRequest{
					BaseVersion: base,
					Content:     []byte(text),
				})
				return err == nil
			}, time.Minute, 50*time.Millisecond)
		}
		apply(0, manyRoutes(20))
		apply(1, manyRoutes(20+addedRoutes))
		router := sim.runningRouters()[0]
		for _, from := range []uint64{0, 1} {
			var resp *pb.HeartbeatResponse
			// The heartbeat fails until the router may be added to the list.
			require.Eventually(t, func() bool {
				var err error
				resp, err = c.Heartbeat(t.Context(), &pb.HeartbeatRequest{
					Instance:    router.name,
					Incarnation: router.incarnation,
					RuleVersion: from,
				})
				return err == nil
			}, time.Minute, 50*time.Millisecond)
			require.EqualValues(t, 2, resp.GetRuleVersion())
			maxSize := linkBytesPerSecond * int(heartbeatTimeout/time.Millisecond) / 1000 / concurrentRouters
			require.LessOrEqual(t, proto.Size(resp), maxSize, "from version %d", from)
		}
	})
}
