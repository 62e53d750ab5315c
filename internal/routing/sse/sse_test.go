package sse_test

import (
	"errors"
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
	require.Error(t, s.Err())
	require.LessOrEqual(t, len(s.Rest()), 1<<10)
	require.Empty(t, s.Add([]byte("\n\n")), "nothing is returned after an overflow")
}

// TestBufferGrowsWithinItsReservation: the buffer takes no memory that was not reserved
// before, gives it back after a large event, and ends when it gets none.
func TestBufferGrowsWithinItsReservation(t *testing.T) {
	const available = 100 << 10
	reserved := 0
	s := sse.Splitter{
		Resize: func(bytes int) error {
			if bytes > available {
				return errors.New("no memory")
			}
			reserved = bytes
			return nil
		},
	}
	part := []byte(strings.Repeat("x", 5<<10))
	for range 8 {
		require.Empty(t, s.Add(part))
		require.GreaterOrEqual(t, reserved, len(s.Rest()))
	}
	require.Len(t, s.Add([]byte("\n\n")), 8*len(part)+2)
	require.Zero(t, reserved, "the buffer of the large event is dropped")
	for range 30 {
		s.Add(part)
	}
	require.EqualError(t, s.Err(), "no memory")
	require.LessOrEqual(t, len(s.Rest()), available)
}

// TestSmallEventsNeedNoBuffer: events that arrive whole are returned without being buffered.
func TestSmallEventsNeedNoBuffer(t *testing.T) {
	s := sse.Splitter{
		Resize: func(int) error { return errors.New("no memory") },
	}
	events := strings.Repeat("id: 1\ndata: a\n\n", 1000)
	require.Equal(t, events, string(s.Add([]byte(events))))
	require.NoError(t, s.Err())
}
