package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/world/fault"
)

// TestMachineService runs random work through the gates of a service and
// checks, at each admission, the load bound over the true loads, the limits of
// accounts and that nothing waits while a slot is free.
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
		in := make([]map[string]routing.Request, n)
		for i := range in {
			in[i] = make(map[string]routing.Request)
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
				d := gates[i].Offer(now, r, Terms{
					Bound:        c,
					OthersLoad:   total() - gates[i].Load(),
					Servers:      n,
					AccountLimit: limit,
				})
				if d.Refused != "" {
					return
				}
				in[i][r.ID] = r
				mean := float64(total()) / float64(n)
				require.Less(t, float64(gates[i].Load()), c*mean+1, "the load is over ceil(c x mean)")
				count := 0
				for _, o := range in[i] {
					if o.Account == r.Account {
						count++
					}
				}
				require.True(t, limit == 0 || count <= limit, "account over its limit")
			},
			"finish": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "server")
				now += 10 * time.Millisecond
				for key, r := range in[i] {
					delete(in[i], key)
					for _, next := range gates[i].Finish(now, r) {
						require.Contains(t, in[i], next.ID, "an unknown request was started")
					}
					require.Empty(t, gates[i].Finish(now, r), "a request ended twice")
					return
				}
			},
			"": func(t *rapid.T) {
				for i, g := range gates {
					require.Equal(t, len(in[i]), g.Load())
					require.LessOrEqual(t, g.Running(), g.Slots)
					require.True(t, g.Queued() == 0 || g.Running() == g.Slots, "a request waits beside a free slot")
				}
			},
		})
	})
}

// TestSurgingAccountLeavesRoom: an account far beyond its fair part takes no
// slot of the reserve and no place in the queue; others still do.
func TestSurgingAccountLeavesRoom(t *testing.T) {
	g := &Gate{
		Slots: 8,
	}
	offer := func(id int, account string) routing.Decision {
		return g.Offer(0, routing.Request{
			ID:        fmt.Sprint(id),
			Account:   account,
			FairSlots: 1,
		}, Terms{})
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
	offer := func(id string, terms Terms) routing.Decision {
		return g.Offer(0, routing.Request{
			ID:      id,
			Account: "a",
		}, terms)
	}
	require.True(t, offer("1", Terms{}).Started)
	g.Finish(100*time.Millisecond, routing.Request{
		ID:      "1",
		Account: "a",
	})
	require.True(t, offer("2", Terms{}).Started)
	require.Equal(t, fault.DeadlineTooNear, offer("3", Terms{Remaining: 50 * time.Millisecond}).Refused)
	require.Equal(t, fault.AccountLimit, offer("4", Terms{AccountLimit: 1}).Refused)
	require.Equal(t, fault.OverBound, offer("5", Terms{Cap: 1}).Refused)
	require.Equal(t, fault.OverBound, offer("6", Terms{Bound: 1, Servers: 2}).Refused)
	for i := range queuePerSlot {
		require.Empty(t, offer(fmt.Sprintf("q%d", i), Terms{}).Refused)
	}
	require.Equal(t, fault.Overloaded, offer("7", Terms{}).Refused)
}
