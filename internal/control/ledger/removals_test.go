package ledger_test

// This file tests that the removal of rows changes no result, and that readers of changes follow it.

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/ledger"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// randomCommand returns a command on one of a few servers, which leave and come back under their names, each in
// its failure domain.
func randomCommand(t *rapid.T, drains bool) *pb.Command {
	n := rapid.IntRange(0, 5).Draw(t, "server")
	server, domain := fmt.Sprint(n), fmt.Sprint("domain", n%3)
	on := rapid.Bool().Draw(t, "on")
	kinds := []*pb.Command{
		{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{Servers: []*pb.BackendServer{{Name: server, FailureDomain: domain, Gone: on}}}}},
		{Kind: &pb.Command_Evacuation{Evacuation: &pb.Evacuation{FailureDomain: domain, Active: on}}},
		{Kind: &pb.Command_PlaceOrder{PlaceOrder: &pb.PlaceOrder{BackendServer: server}}},
		{Kind: &pb.Command_FinishOrder{FinishOrder: &pb.FinishOrder{OrderId: rapid.Uint64Range(1, 9).Draw(t, "order")}}},
		{Kind: &pb.Command_DrainServer{DrainServer: &pb.DrainServer{BackendServer: server, Drain: on}}},
	}
	if !drains {
		kinds = kinds[:4]
	}
	return rapid.SampledFrom(kinds).Draw(t, "command")
}

func listed(servers []*pb.BackendServer) map[string]string {
	out := make(map[string]string)
	for _, s := range servers {
		if !s.GetGone() {
			out[s.GetName()] = s.GetFailureDomain()
		}
	}
	return out
}

// TestMachineRemovalChangesNoResult guards against replicas that diverge: a replica of an older build keeps the
// rows that the others have removed, and a drain, an order or an evacuation that is sent again has
// another result there. It also guards against routers that keep a server as listed, as its row was removed
// before they had read that it is gone.
func TestMachineRemovalChangesNoResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newer, older := &ledger.Ledger{}, &ledger.Ledger{}
		v := &view.View{}
		drains := rapid.Bool().Draw(t, "drains")
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			index := i + 1
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r := &pb.RemoveServers{ThroughIndex: rapid.Uint64Range(0, index).Draw(t, "through")}
				newer.Apply(index, &pb.Command{Kind: &pb.Command_RemoveServers{RemoveServers: r}})
				older.Apply(index, &pb.Command{})
			case 1:
				data, err := newer.Encode()
				require.NoError(t, err)
				newer = &ledger.Ledger{}
				require.NoError(t, newer.Restore(data))
				fallthrough
			default:
				c := randomCommand(t, drains)
				require.True(t, proto.Equal(older.Apply(index, c), newer.Apply(index, c)), c.String())
			}
			require.Equal(t, listed(older.Changes(0).Servers), listed(newer.Changes(0).Servers))
			if rapid.Bool().Draw(t, "read") {
				v = read(v, newer)
				require.Equal(t, listed(older.Changes(0).Servers), viewed(v))
			}
		}
		var joiner view.View
		require.ElementsMatch(t, slices.Collect(maps.Keys(read(&joiner, newer).Servers)), slices.Collect(maps.Keys(read(v, newer).Servers)), "views converge")
	})
}

// read applies the changes of l to v as a router does.
func read(v *view.View, l *ledger.Ledger) *view.View {
	c := l.Changes(v.Index)
	return v.WithoutGone(max(v.RemovedIndex, c.RemovedIndex)).WithTables(c.Index, c.Whole, c.Servers, c.Instances)
}

func viewed(v *view.View) map[string]string {
	return listed(slices.Collect(maps.Values(v.Servers)))
}

// TestRemovedServersCommandInOlderBuild guards against older builds that can't read a log with a removal: what they
// read is a command of no kind, which they accept and which changes nothing.
func TestRemovedServersCommandInOlderBuild(t *testing.T) {
	encoded, err := proto.Marshal(&pb.Command{
		Kind: &pb.Command_RemoveServers{
			RemoveServers: &pb.RemoveServers{
				ThroughIndex:        1 << 40,
				DrainedThroughIndex: 1 << 40,
			},
		},
	})
	require.NoError(t, err)
	require.LessOrEqual(t, len(encoded), 32, "the record has one size, however many rows are removed")
	// A message without fields stands for one that lacks the field of the command.
	require.NoError(t, proto.Unmarshal(encoded, &pb.RaftResponse{}))
	l := &ledger.Ledger{}
	l.Apply(1, &pb.Command{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{Servers: []*pb.BackendServer{{Name: "a", Gone: true}}}}})
	require.Empty(t, l.Apply(2, &pb.Command{}).GetFailure())
	require.Len(t, l.Changes(0).Servers, 1)
	drain := &pb.Command{Kind: &pb.Command_DrainServer{DrainServer: &pb.DrainServer{BackendServer: "a"}}}
	require.Equal(t, string(fault.UnknownServer), l.Apply(3, drain).GetFailure())
}
