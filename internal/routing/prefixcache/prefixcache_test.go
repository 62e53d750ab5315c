package prefixcache_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/prefixcache"
)

func parts(ids ...uint64) []prefixcache.Part {
	out := make([]prefixcache.Part, len(ids))
	for i, id := range ids {
		out[i] = prefixcache.Part{
			ID:     id,
			Tokens: 10,
		}
	}
	return out
}

func TestOnlyContiguousPrefixCounts(t *testing.T) {
	c := &prefixcache.Cache{
		Capacity: 100,
	}
	c.Use(parts(1, 2, 3))
	require.Equal(t, 30, c.CachedTokens(parts(1, 2, 3, 4)))
	require.Equal(t, 10, c.CachedTokens(parts(1, 9, 3)))
	require.Equal(t, 0, c.CachedTokens(parts(9, 2, 3)))
	c.Reset()
	require.Zero(t, c.CachedTokens(parts(1)))
	require.Zero(t, c.UsedTokens())
}

// TestEvictsLeastRecentlyUsed checks that the parts of the older prompt are evicted first,
// and of one prompt the last part, as parts after a missing one are useless.
func TestEvictsLeastRecentlyUsed(t *testing.T) {
	c := &prefixcache.Cache{
		Capacity: 40,
	}
	c.Use(parts(1, 2, 3))
	c.Use(parts(1, 4, 5))
	require.Equal(t, 20, c.CachedTokens(parts(1, 2, 3)))
	require.Equal(t, 30, c.CachedTokens(parts(1, 4, 5)))
	require.Equal(t, []prefixcache.Part{{ID: 2, Tokens: 10}, {ID: 5, Tokens: 10}, {ID: 4, Tokens: 10}, {ID: 1, Tokens: 10}}, c.Parts())
}

func TestNeverOverCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &prefixcache.Cache{
			Capacity: rapid.IntRange(0, 200).Draw(rt, "capacity"),
		}
		for range rapid.IntRange(1, 40).Draw(rt, "uses") {
			var prompt []prefixcache.Part
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 12), 1, 5, rapid.ID[uint64]).Draw(rt, "prompt") {
				prompt = append(prompt, prefixcache.Part{
					ID:     id,
					Tokens: int(id) * 3,
				})
			}
			c.Use(prompt)
			sum := 0
			for _, p := range c.Parts() {
				sum += p.Tokens
			}
			require.Equal(rt, sum, c.UsedTokens())
			require.LessOrEqual(rt, sum, c.Capacity)
		}
	})
}
