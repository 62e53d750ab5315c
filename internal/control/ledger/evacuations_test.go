package ledger

// This file tests the table of evacuated failure domains.

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func evacuationCommand(domain string, active bool) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_Evacuation{
			Evacuation: &pb.Evacuation{
				FailureDomain: domain,
				Active:        active,
				Reason:        "test",
			},
		},
	}
}

func serverCommand(name, domain string, gone bool) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_UpdateServers{
			UpdateServers: &pb.UpdateServers{
				Servers: []*pb.BackendServer{{
					Name:          name,
					FailureDomain: domain,
					Gone:          gone,
				}},
			},
		},
	}
}

// TestUnknownDomainChangesNothing: an operator that misspells a failure domain is refused,
// and no row is left behind that would evacuate servers which join such a domain later.
func TestUnknownDomainChangesNothing(t *testing.T) {
	l := &Ledger{}
	l.Apply(1, serverCommand("s1", "a", true))
	l.Apply(2, &pb.Command{
		Kind: &pb.Command_RegisterInstance{
			RegisterInstance: &pb.RegisterInstance{
				Instance: &pb.Instance{
					Name:          "i1",
					FailureDomain: "b",
				},
			},
		},
	})
	index := uint64(2)
	for _, active := range []bool{true, false} {
		for _, domain := range []string{"", "c", "A"} {
			index++
			r := l.Apply(index, evacuationCommand(domain, active))
			require.Equal(t, fault.UnknownFailureDomain, r.GetFailure())
			require.Equal(t, domain, r.GetSubject())
		}
	}
	require.Empty(t, l.Changes(0).Evacuations)
	require.Zero(t, l.Changes(2).Len())
	require.Empty(t, l.Apply(index+1, evacuationCommand("a", true)).GetFailure(), "all servers of a domain may be gone")
	require.Empty(t, l.Apply(index+2, evacuationCommand("b", true)).GetFailure(), "a domain may have instances only")
}

// TestRepeatedEvacuationChangesNothing: the response to the first call is lost, also with
// the leader, and the operator repeats it. The repeat is accepted, and routers do not
// receive the row again, which would restart what they count from its start.
func TestRepeatedEvacuationChangesNothing(t *testing.T) {
	l := &Ledger{}
	l.Apply(1, serverCommand("s1", "a", false))
	require.Empty(t, l.Apply(2, evacuationCommand("a", false)).GetFailure())
	require.Empty(t, l.Changes(0).Evacuations, "a domain that was never evacuated needs no row")
	require.Empty(t, l.Apply(3, evacuationCommand("a", true)).GetFailure())
	require.Len(t, l.Changes(2).Evacuations, 1)
	require.Empty(t, l.Apply(4, evacuationCommand("a", true)).GetFailure())
	require.Zero(t, l.Changes(3).Len())
	require.Empty(t, l.Apply(5, evacuationCommand("a", false)).GetFailure())
	require.Empty(t, l.Apply(6, evacuationCommand("a", false)).GetFailure())
	rows := l.Changes(3).Evacuations
	require.Len(t, rows, 1)
	require.False(t, rows[0].GetActive(), "routers must receive the end")
	require.EqualValues(t, 5, rows[0].GetChangedIndex())
}

// TestEvacuationEndsAfterItsServersMoved: the platform lists the servers of an evacuated
// failure domain under another one. The evacuation must not become impossible to end.
func TestEvacuationEndsAfterItsServersMoved(t *testing.T) {
	l := &Ledger{}
	l.Apply(1, serverCommand("s1", "a", false))
	l.Apply(2, evacuationCommand("a", true))
	l.Apply(3, serverCommand("s1", "b", false))
	require.Empty(t, l.Apply(4, evacuationCommand("a", false)).GetFailure())
}

// TestMachineEvacuations runs random sequences of commands against a ledger and a router's
// copy of its rows. The state is that of the last command on a known failure domain,
// whatever comes between: rule edits, changes of the list, snapshots and rows that the
// router receives late.
func TestMachineEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &Ledger{
			Checker: &invariant.Checker{
				Report: func(name, detail string) { rt.Fatalf("invariant %s: %s", name, detail) },
			},
		}
		index, version, seen := uint64(0), uint64(0), uint64(0)
		known, active, router := map[string]bool{}, map[string]bool{}, map[string]bool{}
		apply := func(c *pb.Command) *pb.Result {
			index++
			return l.Apply(index, c)
		}
		domain := rapid.SampledFrom([]string{"", "a", "b", "c"})
		rt.Repeat(map[string]func(*rapid.T){
			"server": func(t *rapid.T) {
				d := domain.Draw(t, "domain")
				known[d] = d != ""
				apply(serverCommand("s"+d, d, rapid.Bool().Draw(t, "gone")))
			},
			"evacuate": func(t *rapid.T) {
				d, on := domain.Draw(t, "domain"), rapid.Bool().Draw(t, "active")
				r := apply(evacuationCommand(d, on))
				require.Equal(t, known[d], r.GetFailure() == "")
				if known[d] {
					active[d] = on
				}
			},
			"rules": func(t *rapid.T) {
				r := apply(edit(version, fmt.Sprint("rules ", index)))
				require.Empty(t, r.GetFailure())
				version = r.GetRuleVersion()
			},
			"snapshot": func(t *rapid.T) {
				b, err := l.Encode()
				require.NoError(t, err)
				restored := &Ledger{}
				require.NoError(t, restored.Restore(b))
				require.True(t, proto.Equal(l.Snapshot(), restored.Snapshot()))
				l = restored
			},
			"heartbeat": func(t *rapid.T) {
				changes := l.Changes(seen)
				for _, e := range changes.Evacuations {
					router[e.GetFailureDomain()] = e.GetActive()
				}
				seen = changes.Index
				for d, on := range active {
					require.Equal(t, on, router[d], d)
				}
			},
			"": func(t *rapid.T) {
				for _, e := range l.Changes(0).Evacuations {
					require.Equal(t, active[e.GetFailureDomain()], e.GetActive())
				}
			},
		})
	})
}
