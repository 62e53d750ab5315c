package ruleset_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/rules/ruleset"
)

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	rules := &ruleset.Rules{
		Routes: []ruleset.Route{
			{Name: "root", Host: "h", Prefix: "/"},
			{Name: "a", Host: "h", Prefix: "/a/"},
			{Name: "ab", Host: "h", Prefix: "/a/b/"},
			{Name: "other", Host: "g", Prefix: "/a/b/c/"},
		},
	}
	for path, want := range map[string]string{"/": "root", "/a": "root", "/a/x": "a", "/a/b/c/d": "ab", "/a/bc": "a"} {
		require.Equal(t, want, rules.Match("h", path).Name, path)
	}
	require.Nil(t, rules.Match("nowhere", "/a/"))
	require.Nil(t, rules.Match("g", "/a/b/"))
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := &ruleset.Route{
		Split: []ruleset.WeightedService{
			{Service: "a", Weight: 90},
			{Service: "none", Weight: 0},
			{Service: "b", Weight: 10},
		},
	}
	counts := make(map[string]int)
	for point := range uint64(1000) {
		counts[r.PickService(point)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	rapid.Check(t, func(rt *rapid.T) {
		require.NotEqual(rt, "none", r.PickService(rapid.Uint64().Draw(rt, "point")))
	})
}

func TestRepeatable(t *testing.T) {
	require.True(t, (&ruleset.Route{Kind: ruleset.Safe}).Repeatable())
	require.False(t, (&ruleset.Route{Kind: ruleset.Unsafe, Resumable: true}).Repeatable())
	require.False(t, (&ruleset.Route{Kind: ruleset.Stream}).Repeatable())
	require.True(t, (&ruleset.Route{Kind: ruleset.Stream, Resumable: true}).Repeatable())
}
