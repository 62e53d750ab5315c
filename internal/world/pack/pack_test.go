package pack_test

// This file tests that texts come back as they were, and that damage is told.

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/world/fault"
	"camphorspoke/internal/world/pack"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		word := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "word")
		// A text that begins as a packed one does is none of ours.
		text := append([]byte{0x0a}, bytes.Repeat(word, rapid.IntRange(0, 50).Draw(rt, "times"))...)
		c := pack.Codec{
			Limit: len(text),
		}
		packed := c.Pack(text)
		require.LessOrEqual(rt, len(packed), len(text))
		got, err := c.Unpack(packed)
		require.NoError(rt, err)
		require.Equal(rt, text, got)
	})
}

func TestDamage(t *testing.T) {
	text := bytes.Repeat([]byte("route a host=b\n"), 1000)
	packed := pack.Codec{}.Pack(text)
	require.Less(t, len(packed), len(text)/20)
	for _, bad := range [][]byte{packed[:2], packed[:len(packed)-1], append(packed[:12:12], 0xff, 0xff, 0xff)} {
		_, err := pack.Codec{}.Unpack(bad)
		require.Equal(t, fault.DamagedText, fault.KindOf(err))
	}
	_, err := pack.Codec{
		Limit: len(text) - 1,
	}.Unpack(packed)
	require.Equal(t, fault.DamagedText, fault.KindOf(err))
}
