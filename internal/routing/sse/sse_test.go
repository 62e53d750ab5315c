package sse_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/sse"
)

// TestAnyCutGivesWholeEvents adds a stream in chunks of random lengths up to a
// random position. The output must hold exactly the events that are complete
// there, and output and rest together must equal the bytes added.
func TestAnyCutGivesWholeEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var stream strings.Builder
		n := rapid.IntRange(0, 12).Draw(rt, "events")
		for i := range n {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", rapid.IntRange(0, 30).Draw(rt, "length")))
		}
		text := stream.String()
		cut := rapid.IntRange(0, len(text)).Draw(rt, "cut")
		var s sse.Splitter
		var out strings.Builder
		for at := 0; at < cut; {
			step := min(rapid.IntRange(1, 50).Draw(rt, "step"), cut-at)
			out.Write(s.Add([]byte(text[at : at+step])))
			at += step
		}
		require.Equal(rt, text[:cut], out.String()+string(s.Rest()))
		whole := strings.Count(out.String(), "\n\n")
		require.Equal(rt, strings.Count(text[:cut], "\n\n"), whole)
		if whole > 0 {
			require.True(rt, strings.HasSuffix(out.String(), "\n\n"))
			require.Equal(rt, fmt.Sprint(whole), s.LastID)
		}
	})
}

func TestCarriageReturns(t *testing.T) {
	var s sse.Splitter
	require.Equal(t, "id: 4\r\ndata: a\r\n\r\n", string(s.Add([]byte("id: 4\r\ndata: a\r\n\r\nid: 5\r\n"))))
	require.Equal(t, "4", s.LastID)
	s.Drop()
	require.Empty(t, s.Rest())
}

// TestEndlessEvent checks that an event without end is not buffered without end.
func TestEndlessEvent(t *testing.T) {
	s := sse.Splitter{
		Limit: 1 << 10,
	}
	require.Equal(t, "id: 1\n\n", string(s.Add([]byte("id: 1\n\nid: 2\ndata: "))))
	for range 100 {
		s.Add([]byte(strings.Repeat("x", 100)))
	}
	require.True(t, s.Overflowed())
	require.LessOrEqual(t, len(s.Rest()), 1<<10)
	require.Empty(t, s.Add([]byte("\n\n")), "nothing is returned after an overflow")
}
