package tokenmemory_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/tokenmemory"
)

// TestSharedPartsAreHeldOnce: requests with a common prefix counted in full each would leave
// most of an engine's memory unused, and a part behind another prefix is not the same content.
func TestSharedPartsAreHeldOnce(t *testing.T) {
	var m tokenmemory.Memory
	first := []prefixcache.Part{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 200}}
	second := []prefixcache.Part{{ID: 1, Tokens: 1000}, {ID: 3, Tokens: 300}}
	other := []prefixcache.Part{{ID: 4, Tokens: 50}, {ID: 1, Tokens: 1000}}
	require.Equal(t, 1280, m.Needs(first, 80))
	m.Add(1, first, 80)
	require.Equal(t, 310, m.Needs(second, 10))
	m.Add(2, second, 10)
	require.Equal(t, 1590, m.Used())
	require.Equal(t, 1050, m.Needs(other, 0))
	m.Add(3, other, 0)
	require.Equal(t, 2640, m.Used())
	m.Remove(1)
	require.Equal(t, 2360, m.Used(), "the second request still holds the first part")
	m.Remove(2)
	m.Remove(2)
	m.Remove(3)
	require.Zero(t, m.Used())
}

// TestMachineMemory adds and removes requests with parts in any order, also repeated ones: what
// a request needs is never less than what it adds, and nothing is held at the end.
func TestMachineMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m tokenmemory.Memory
		present := make(map[uint64]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.Uint64Range(0, 8).Draw(t, "id")
			if present[id] {
				delete(present, id)
				m.Remove(id)
				continue
			}
			var parts []prefixcache.Part
			for _, part := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 5).Draw(t, "parts") {
				parts = append(parts, prefixcache.Part{
					ID:     part,
					Tokens: int(10 * part),
				})
			}
			own := rapid.IntRange(0, 50).Draw(t, "own")
			needs, before := m.Needs(parts, own), m.Used()
			m.Add(id, parts, own)
			present[id] = true
			require.GreaterOrEqual(t, needs, m.Used()-before)
			require.GreaterOrEqual(t, m.Used(), before+own)
		}
		for id := range present {
			m.Remove(id)
		}
		require.Zero(t, m.Used())
	})
}
