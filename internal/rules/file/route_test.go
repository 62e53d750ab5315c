package file_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/rules/file"
)

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	rules := &file.Rules{
		Routes: []file.Route{
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
	r := &file.Route{
		Split: []file.WeightedService{
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
	require.True(t, (&file.Route{Kind: file.Safe}).Repeatable())
	require.False(t, (&file.Route{Kind: file.Unsafe, Resumable: true}).Repeatable())
	require.False(t, (&file.Route{Kind: file.Stream}).Repeatable())
	require.True(t, (&file.Route{Kind: file.Stream, Resumable: true}).Repeatable())
}
