package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/routing"
)

// TestMachineService applies random operations to the gates of a service. It
// checks the load bound against the actual loads and the limits of accounts at
// each admission, and after each step that no request waits while a slot is
// free.
func TestMachineService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(rt, "servers")
		c := rapid.Float64Range(1, 3).Draw(rt, "bound")
		checker := &invariant.Checker{
			Report: func(name, detail string) { rt.Fatalf("invariant %s: %s", name, detail) },
		}
		gates := make([]*Gate, n)
		for i := range gates {
			gates[i] = &Gate{
				Server:  fmt.Sprint(i),
				Slots:   rapid.IntRange(1, 6).Draw(rt, "slots"),
				Checker: checker,
			}
		}
		admitted := make([]map[string]routing.Request, n)
		for i := range admitted {
			admitted[i] = make(map[string]routing.Request)
		}
		var now time.Duration
		id := 0
		total := func() (sum int) {
			for _, g := range gates {
				sum += g.Load()
			}
			return sum
		}
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "server")
				id++
				r := routing.Request{
					ID:      fmt.Sprint(id),
					Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
					Class:   rapid.IntRange(0, 2).Draw(t, "class"),
					Share:   1,
				}
				r.FairSlots = rapid.IntRange(0, 2).Draw(t, "fair")
				limit := rapid.IntRange(0, 3).Draw(t, "limit")
				d := gates[i].Offer(now, r, Params{
					Bound:        c,
					OthersLoad:   total() - gates[i].Load(),
					Servers:      n,
					AccountLimit: limit,
				})
				if d.Refused != "" {
					return
				}
				admitted[i][r.ID] = r
				mean := float64(total()) / float64(n)
				require.Less(t, float64(gates[i].Load()), c*mean+1, "load exceeds ceil(bound x mean load)")
				count := 0
				for _, o := range admitted[i] {
					if o.Account == r.Account {
						count++
					}
				}
				require.True(t, limit == 0 || count <= limit, "account exceeds its limit")
			},
			"finish": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "server")
				now += 10 * time.Millisecond
				for key, r := range admitted[i] {
					delete(admitted[i], key)
					for _, next := range gates[i].Finish(now, r) {
						require.Contains(t, admitted[i], next.ID, "a request that was not admitted was started")
					}
					require.Empty(t, gates[i].Finish(now, r), "finishing a request twice started others")
					return
				}
			},
			"": func(t *rapid.T) {
				for i, g := range gates {
					require.Equal(t, len(admitted[i]), g.Load())
					require.LessOrEqual(t, g.Running(), g.Slots)
					require.True(t, g.Queued() == 0 || g.Running() == g.Slots, "a request waits while a slot is free")
				}
			},
		})
	})
}

// TestSurgingAccountLeavesRoom guards against one account taking all slots: an
// account with at least fairShareMultiple times its fair share of requests gets
// neither a reserved slot nor a place in the queue, while other accounts still
// get slots.
func TestSurgingAccountLeavesRoom(t *testing.T) {
	g := &Gate{
		Slots: 8,
	}
	offer := func(id int, account string) routing.Decision {
		return g.Offer(0, routing.Request{
			ID:        fmt.Sprint(id),
			Account:   account,
			FairSlots: 1,
		}, Params{})
	}
	for i := range 4 {
		require.True(t, offer(i, "surging").Started)
	}
	require.Equal(t, fault.AccountLimit, offer(4, "surging").Refused)
	require.True(t, offer(5, "other").Started)
	require.True(t, offer(6, "other").Started)
	require.True(t, offer(7, "third").Started)
}

func TestRefusals(t *testing.T) {
	g := &Gate{
		Slots: 1,
	}
	offer := func(id string, params Params) routing.Decision {
		return g.Offer(0, routing.Request{
			ID:      id,
			Account: "a",
		}, params)
	}
	require.True(t, offer("1", Params{}).Started)
	g.Finish(100*time.Millisecond, routing.Request{
		ID:      "1",
		Account: "a",
	})
	require.True(t, offer("2", Params{}).Started)
	require.Equal(t, fault.DeadlineTooNear, offer("3", Params{Remaining: 50 * time.Millisecond}).Refused)
	require.Equal(t, fault.AccountLimit, offer("4", Params{AccountLimit: 1}).Refused)
	require.Equal(t, fault.OverBound, offer("5", Params{Cap: 1}).Refused)
	require.Equal(t, fault.OverBound, offer("6", Params{Bound: 1, Servers: 2}).Refused)
	for i := range queuePerSlot {
		require.Empty(t, offer(fmt.Sprintf("q%d", i), Params{}).Refused)
	}
	require.Equal(t, fault.Overloaded, offer("7", Params{}).Refused)
}
