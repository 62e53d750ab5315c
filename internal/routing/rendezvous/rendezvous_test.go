package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing"
)

func servers(n int) []routing.Server {
	out := make([]routing.Server, n)
	for i := range out {
		out[i] = routing.Server{
			Name:   fmt.Sprintf("s%d", i),
			Weight: 8,
		}
	}
	return out
}

// TestOnlyChatsOfRemovedServerMove checks that removing a server changes the
// preferred server of its own chats only, to their second choice.
func TestOnlyChatsOfRemovedServerMove(t *testing.T) {
	all := servers(9)
	moved := 0
	for i := range 2000 {
		chat := fmt.Sprintf("chat-%d", i)
		before, after := Picker{}.Order(chat, all), Picker{}.Order(chat, all[1:])
		if before[0] != "s0" {
			require.Equal(t, before[0], after[0])
			continue
		}
		moved++
		require.Equal(t, before[1], after[0])
	}
	require.InDelta(t, 2000/9, moved, 60)
}

func TestWeights(t *testing.T) {
	ss := servers(3)
	ss[0].Weight = 24
	chats := make(map[string]int)
	for i := range 5000 {
		chats[Picker{}.Order(fmt.Sprint(i), ss)[0]]++
	}
	require.InDelta(t, 3000, chats["s0"], 150)
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{9, 40} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			ss := servers(n)
			for b.Loop() {
				Picker{}.Order("chat-4711", ss)
			}
		})
	}
}
