package manager_test

// This file tests how a large rule file reaches a large fleet over links of limited bandwidth.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// reportedRouters is the number of instances of the deployment in whose record a large rule file was
// seen first.
const reportedRouters = 104

// inForceTime is how long after its acknowledgement a rule file may not be in force on a router.
const inForceTime = 2500 * time.Millisecond

// largeRules returns a rule file that is compressed to about as many bytes as one of 5,600 routes. Fewer
// routes with longer comments are faster to parse.
func largeRules(seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 2))
	name := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)]
		}
		return string(b)
	}
	var b strings.Builder
	b.WriteString("service svc type=plain # operator: by the configuration\n")
	for range 100 {
		fmt.Fprintf(&b, "route r-%s host=ficu95.example prefix=/%s/ kind=safe to=svc timeout=800ms objective=150ms attempts=2 # operator: %s\n", name(7), name(7), name(1150))
	}
	return []byte(b.String())
}

// TestLargeRuleFileReachesManyRouters: a file of the size of 5,600 routes replaces another one. As a part of the
// heartbeat replies it took the leader's link longer than the routers wait. They asked again and again,
// lost the leader, and refused their callers for as long. It has to be in force on every router in time,
// and no heartbeat may be lost meanwhile; neither may one when all routers start again and need the file.
func TestLargeRuleFileReachesManyRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Answers that nobody waits for any more still leave the links.
		defer time.Sleep(time.Hour)
		sim, stop := newLargeSimulation(t)
		defer stop()
		fleet := newLinkedFleet(sim)
		fleet.routers = reportedRouters
		defer fleet.stop()
		fleet.start(1)
		fleet.awaitComplete(10 * startTime)
		require.Equal(t, reportedRouters, fleet.complete())
		operator := client{
			sim:  sim,
			from: "op",
		}
		for i := range uint64(2) {
			revision := i + 2
			_, err := operator.ApplyRules(t.Context(), &pb.ApplyRulesRequest{
				Content:  largeRules(revision),
				Revision: revision,
			})
			require.NoError(t, err)
			acknowledged := time.Now()
			for time.Since(acknowledged) < inForceTime {
				time.Sleep(20 * time.Millisecond)
				for _, a := range fleet.agents {
					require.True(t, a.Fresh(), "a router has lost the leader")
				}
			}
			require.Equal(t, reportedRouters, fleet.withRules(revision))
			for _, a := range fleet.agents {
				require.Empty(t, a.State().LastError)
			}
		}
		fleet.start(2)
		took := fleet.awaitComplete(10 * startTime)
		t.Logf("after a restart, %d routers complete after %s", fleet.complete(), took)
		require.Equal(t, reportedRouters, fleet.complete())
		require.Less(t, took, startTime)
	})
}

// withRules returns how many routers have a version of the rules.
func (f *linkedFleet) withRules(version uint64) int {
	n := 0
	for _, a := range f.agents {
		if a.View().RuleVersion == version {
			n++
		}
	}
	return n
}
