package ingress_test

// This file tests streams of a route whose requests are divided between two services.

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestStreamGoesOnAtItsServiceAfterAChangeOfWeights: a caller takes a stream up after the weights of its route's
// split have changed; both services still serve the route. It guards against a stream of which one service
// has written the begin and the other one the rest, at another version.
func TestStreamGoesOnAtItsServiceAfterAChangeOfWeights(t *testing.T) {
	const streams = 20
	e := &testEnv{
		t:        t,
		slots:    4,
		versions: []string{"v1", "v2"},
	}
	addresses := []string{e.backend("b0", versionedStream("v1")), e.backend("b1", versionedStream("v2"))}
	rules := strings.Replace(ruleTextWithKey(), "kind=stream to=s timeout=2s attempts=2 resume=yes", "kind=stream to=s:99,z:1 timeout=2s attempts=1 resume=yes", 1)
	rules = strings.Replace(rules, "account acme", "service z type=plain # t: t\naccount acme", 1)
	e.start(rules, addresses)
	var servers []*pb.BackendServer
	for i, service := range []string{"s", "z"} {
		servers = append(servers, &pb.BackendServer{
			Name:    fmt.Sprintf("b%d", i),
			Service: service,
			Slots:   e.slots,
			Address: addresses[i],
			Version: e.versions[i],
		})
	}
	e.membership.view.Store(e.membership.View().WithTables(2, true, servers, nil))
	e.handler.Placer.Update(e.membership.View())
	begun := make(map[string]string)
	for n := range streams {
		id := fmt.Sprintf("first%d", n)
		_, body, _ := e.do("/chat/", "Id", id)
		begun[id] = body
	}
	e.changeRules("s:99,z:1", "s:50,z:50")
	e.handler.Placer.Update(e.membership.View())
	for id, body := range begun {
		_, more, _ := e.do("/chat/", "Resumes", id, "Last", fmt.Sprint(strings.Count(body, "id: ")))
		require.LessOrEqual(t, len(versionsIn(body+more)), 1, body+more)
	}
}
