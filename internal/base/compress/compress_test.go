package compress_test

// This file tests that compression round-trips and that corrupt data is detected.

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		block := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "block")
		// The first byte differs from gzip's, as no rule file or message starts
		// with gzip's magic bytes.
		text := append([]byte{0x0a}, bytes.Repeat(block, rapid.IntRange(0, 50).Draw(rt, "times"))...)
		c := compress.Codec{
			Limit: len(text),
		}
		compressed := c.Compress(text)
		require.LessOrEqual(rt, len(compressed), len(text))
		got, err := c.Decompress(compressed)
		require.NoError(rt, err)
		require.Equal(rt, text, got)
	})
}

// TestCorruptData checks that truncated, corrupted and oversized data is rejected.
func TestCorruptData(t *testing.T) {
	text := bytes.Repeat([]byte("route a host=b\n"), 1000)
	compressed := compress.Codec{}.Compress(text)
	require.Less(t, len(compressed), len(text)/20)
	for _, damaged := range [][]byte{compressed[:2], compressed[:len(compressed)-1], append(compressed[:12:12], 0xff, 0xff, 0xff)} {
		_, err := compress.Codec{}.Decompress(damaged)
		require.Equal(t, fault.DamagedText, fault.KindOf(err))
	}
	_, err := compress.Codec{
		Limit: len(text) - 1,
	}.Decompress(compressed)
	require.Equal(t, fault.DamagedText, fault.KindOf(err))
}
