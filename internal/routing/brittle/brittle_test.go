package brittle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/brittle"
)

const slots = 8

var says = brittle.Statement{
	Known:    true,
	Refusals: 3,
}

// TestStateHoldsWhileAllServersAreAway: nobody answers for seconds after servers have fallen over, and they
// are brittle when they are back.
func TestStateHoldsWhileAllServersAreAway(t *testing.T) {
	var s brittle.State
	require.False(t, s.Brittle(0))
	require.True(t, s.Observe(time.Second, time.Second, says))
	require.False(t, s.Observe(2*time.Second, 2*time.Second, says))
	require.True(t, s.Brittle(16*time.Second))
	require.False(t, s.Brittle(17*time.Second))
}

// TestStateEndsWithALaterAnswer: an answer without the statement ends the state only if its request
// was granted well after the last one with it. An answer that was held up says nothing of now.
func TestStateEndsWithALaterAnswer(t *testing.T) {
	var s brittle.State
	ends := brittle.Statement{
		Known: true,
	}
	s.Observe(5*time.Second, 5*time.Second, says)
	require.False(t, s.Observe(8*time.Second, 4*time.Second, ends))
	require.False(t, s.Observe(8*time.Second, 6*time.Second, ends))
	require.False(t, s.Observe(8*time.Second, 7*time.Second, brittle.Statement{}))
	require.True(t, s.Observe(8*time.Second, 7*time.Second, ends))
	require.False(t, s.Brittle(8*time.Second))
}

// TestWindow: a server of which nothing is known gets one request, twice as many with each round of
// answers, and its slots at most. After a refusal it gets fewer, and more only slowly.
func TestWindow(t *testing.T) {
	var w brittle.Window
	require.Equal(t, 1, w.Size(slots))
	for round := range 4 {
		require.Equal(t, 1<<round, w.Size(slots))
		for range w.Size(slots) {
			w.Answered(0, slots)
		}
	}
	require.Equal(t, slots, w.Size(slots))
	require.Equal(t, 2, w.Size(2), "the list may state fewer slots later")
	w.Refused(slots)
	require.Equal(t, 5, w.Size(slots))
	for range 2 {
		w.Answered(0, slots)
	}
	require.Equal(t, 5, w.Size(slots))
	for range 100 {
		w.Refused(slots)
	}
	require.Equal(t, 1, w.Size(slots))
	w.Open(slots)
	require.Equal(t, slots, w.Size(slots))
	w.Reset(time.Second)
	w.Answered(1900*time.Millisecond, slots)
	require.Equal(t, 1, w.Size(slots), "another instance may still decide")
	w.Answered(2*time.Second, slots)
	require.Equal(t, 2, w.Size(slots))
}
