package directory_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/directory"
)

// instances returns n instances of failure domain d.
func instances(d string, n int) []directory.Instance {
	var out []directory.Instance
	for i := range n {
		name := fmt.Sprintf("%s-%d", d, i)
		out = append(out, directory.Instance{
			Name:          name,
			FailureDomain: d,
			Address:       name + ":1",
		})
	}
	return out
}

// TestMoreInstancesThanFit: in a failure domain with more instances than an answer
// may name, every answer has the maximum size and no address twice, every instance
// is named equally often over all answering instances, and an instance repeats its
// answer.
func TestMoreInstancesThanFit(t *testing.T) {
	all := append(instances("a", 66), instances("b", 5)...)
	named := make(map[string]int)
	for _, i := range all[:66] {
		p := directory.Picker{
			Instance: i.Name,
			Limit:    64,
		}
		got := p.Addresses(all, "a")
		require.Len(t, got, 64)
		inAnswer := make(map[string]bool)
		for _, address := range got {
			require.False(t, inAnswer[address])
			inAnswer[address] = true
			named[address]++
		}
		require.Equal(t, got, p.Addresses(all, "a"))
	}
	require.Len(t, named, 66)
	for address, n := range named {
		require.Equal(t, 64, n, address)
	}
}

// TestAskedElsewhere: an instance of another failure domain also names only instances
// of the caller's domain.
func TestAskedElsewhere(t *testing.T) {
	all := append(instances("a", 3), instances("b", 5)...)
	p := directory.Picker{
		Instance: "b-3",
		Limit:    64,
	}
	require.ElementsMatch(t, []string{"a-0:1", "a-1:1", "a-2:1"}, p.Addresses(all, "a"))
}

// TestFewInstances: a failure domain with fewer than two usable instances also gets
// those of the others, at most the limit.
func TestFewInstances(t *testing.T) {
	all := append(instances("a", 1), instances("b", 5)...)
	p := directory.Picker{
		Instance: "a-0",
		Limit:    4,
	}
	require.Len(t, p.Addresses(all, "a"), 4)
	require.Contains(t, p.Addresses(all, "a"), "a-0:1")
	require.Len(t, p.Addresses(all, "unknown"), 4)
	require.Empty(t, p.Addresses(nil, "a"))
	p.Limit = 0
	require.Len(t, p.Addresses(all, "a"), 6)
}

// TestWorkingSet: with little load all answering instances name the same few instances
// of a failure domain, none of them one that decides for services, and the loss of an
// instance replaces just that one.
func TestWorkingSet(t *testing.T) {
	all := instances("a", 60)
	all[7].CPUMilli = 512
	var first []string
	for _, i := range all {
		p := directory.Picker{
			Instance: i.Name,
			Limit:    64,
			Wanted:   12,
		}
		got := p.Addresses(all, "a")
		require.Len(t, got, 12)
		require.NotContains(t, got, all[7].Address)
		if first == nil {
			first = got
		}
		require.ElementsMatch(t, first, got)
	}
	p := directory.Picker{
		Limit:  64,
		Wanted: 12,
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(i directory.Instance) bool { return i.Address == first[0] })
	kept := 0
	for _, address := range p.Addresses(rest, "a") {
		if slices.Contains(first, address) {
			kept++
		}
	}
	require.Equal(t, 11, kept)
	p.Wanted = 1
	require.Len(t, p.Addresses(all, "a"), 8, "a set of one would leave callers no choice")
	require.Len(t, p.Addresses(all[:5], "a"), 5)
}
