package sse_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/sse"
)

// FuzzSplitter adds any bytes in two pieces. Nothing is lost or doubled, what is returned ends
// with an event, and an event in progress takes no more than the limit.
func FuzzSplitter(f *testing.F) {
	const limit = 1 << 10
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), 7)
	f.Add([]byte("\n\n\r\n\r\n\n"), 3)
	f.Add(bytes.Repeat([]byte("x"), 2*limit), 5)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		cut = min(max(cut, 0), len(text))
		s := sse.Splitter{
			Limit: limit,
		}
		var out []byte
		for _, piece := range [][]byte{text[:cut], text[cut:]} {
			events := s.Add(piece)
			if len(events) > 0 {
				require.True(t, bytes.HasSuffix(events, []byte("\n\n")) || bytes.HasSuffix(events, []byte("\r\n\r\n")), "%q", events)
			}
			out = append(out, events...)
		}
		require.LessOrEqual(t, len(s.Rest()), limit)
		require.True(t, bytes.HasPrefix(text, out))
		if s.Err() == nil {
			require.Equal(t, string(text), string(out)+string(s.Rest()))
		}
	})
}
