package ledger

// This file tests that the removal of rows changes no result, and that readers of changes follow it.

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// randomCommand returns a command on one of a few servers, which leave and come back under their names, each in
// its failure domain.
func randomCommand(t *rapid.T) *pb.Command {
	n := rapid.IntRange(0, 5).Draw(t, "server")
	server, domain, on := fmt.Sprint(n), fmt.Sprint("domain", n%3), rapid.Bool().Draw(t, "on")
	return rapid.SampledFrom([]*pb.Command{
		serverCommand(server, domain, on),
		evacuationCommand(domain, on),
		{Kind: &pb.Command_PlaceOrder{PlaceOrder: &pb.PlaceOrder{BackendServer: server}}},
		{Kind: &pb.Command_FinishOrder{FinishOrder: &pb.FinishOrder{OrderId: rapid.Uint64Range(1, 9).Draw(t, "order")}}},
		{Kind: &pb.Command_DrainServer{DrainServer: &pb.DrainServer{BackendServer: server, Drain: on}}},
	}).Draw(t, "command")
}

// listed returns the servers that are not gone, with whether they are drained.
func listed(servers []*pb.BackendServer) map[string]bool {
	out := make(map[string]bool)
	for _, s := range servers {
		if !s.GetGone() {
			out[s.GetName()] = s.GetDrained()
		}
	}
	return out
}

// read applies the changes of l to v as a router does.
func read(v *view.View, l *Ledger) *view.View {
	c := l.Changes(v.Index)
	return v.WithoutGone(max(v.RemovedIndex, c.RemovedIndex)).WithTables(c.Index, c.Whole, c.Servers, c.Instances)
}

// TestMachineRemovalChangesNoResult guards against replicas that diverge: a replica of an older build, which reads
// removals as commands of no kind, keeps the rows that the others have removed, and a drain, an order or an evacuation
// that is sent again has another result there. It also guards against routers that keep a server as listed, as its row
// was removed before they had read that it is gone.
func TestMachineRemovalChangesNoResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newer, older, v := &Ledger{}, &Ledger{}, &view.View{}
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			c := randomCommand(t)
			readByOlder := c
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				through := rapid.Uint64Range(0, i).Draw(t, "through")
				c = &pb.Command{Kind: &pb.Command_RemoveServers{RemoveServers: &pb.RemoveServers{ThroughIndex: through}}}
				readByOlder = &pb.Command{}
			case 1:
				data, err := newer.Encode()
				require.NoError(t, err)
				newer = &Ledger{}
				require.NoError(t, newer.Restore(data))
			}
			require.True(t, proto.Equal(older.Apply(i+1, readByOlder), newer.Apply(i+1, c)), c.String())
			require.Equal(t, listed(older.Changes(0).Servers), listed(newer.Changes(0).Servers))
			if rapid.Bool().Draw(t, "read") {
				v = read(v, newer)
				require.Equal(t, listed(older.Changes(0).Servers), listed(slices.Collect(maps.Values(v.Servers))))
			}
		}
		joiner := read(&view.View{}, newer)
		require.ElementsMatch(t, slices.Collect(maps.Keys(joiner.Servers)), slices.Collect(maps.Keys(read(v, newer).Servers)), "views converge")
	})
}
