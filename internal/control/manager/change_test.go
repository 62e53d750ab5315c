package manager_test

// This file replays a change of many routes on a large fleet: the leader sends it
// to each instance while the heartbeats have to get through on the same link.

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
	// changeRoutes is how many routes the change adds.
	changeRoutes = 1120
	// changeLink is the leader's link in bytes a second, changeRouters how many
	// instances ask within changeTime, the time of one try of a heartbeat.
	changeLink    = 100_000_000 / 8
	changeRouters = 81
	changeTime    = 300 * time.Millisecond
)

// manyRoutes returns a rule file with the given number of routes.
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

func TestChangeOfManyRoutesIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, t.Errorf, 1)
		defer w.close()
		c := client{
			w:    w,
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
		apply(1, manyRoutes(20+changeRoutes))
		router := w.running()[0]
		for _, from := range []uint64{0, 1} {
			var resp *pb.HeartbeatResponse
			// A router that is not listed yet is told to wait.
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
			most := changeLink * int(changeTime/time.Millisecond) / 1000 / changeRouters
			require.LessOrEqual(t, proto.Size(resp), most, "from version %d", from)
		}
	})
}
