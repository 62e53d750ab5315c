package guarantee_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestEventsOfStreams checks which streams, each over two attempts, are reported: those with
// events that are missing, doubled or out of order, those that end too early, and those of two
// versions if there are more than two. Events are given as number and version.
func TestEventsOfStreams(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second string
		streams       int
		violations    int
	}{
		{"one version", "1a 2a", "3a 4a", 3, 0},
		{"two versions in as many as are tolerated", "1a 2a", "3b 4b", 2, 0},
		{"two versions in more", "1a 2a", "3b 4b", 3, 1},
		{"two versions within an attempt", "1a 2a", "3a 4b", 3, 1},
		{"an event is doubled", "1a 2a", "2a 3a 4a", 1, 1},
		{"an event is missing", "1a 2a", "4a", 1, 1},
		{"the end is missing", "1a 2a", "3a", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var checker guarantee.Checker
			for n := range c.streams {
				name := fmt.Sprint(n)
				receive(&checker, name, name, c.first)
				receive(&checker, name, name+"-again", c.second)
				checker.StreamEnded(name+"-again", 4)
			}
			checker.CheckStreams()
			require.Len(t, checker.Violations(), c.violations)
		})
	}
}

// TestStreamsThatDoNotGoOn guards against a soak that passes as no stream is taken up, or none goes on.
func TestStreamsThatDoNotGoOn(t *testing.T) {
	for goneOn, violations := range map[int]int{0: 1, 5: 1, 6: 0, 12: 0} {
		var checker guarantee.Checker
		for n := range 12 {
			name, second := fmt.Sprint(n), ""
			if n < goneOn {
				second = "3a 4a"
			}
			receive(&checker, name, name, "1a 2a")
			receive(&checker, name, name+"-again", second)
		}
		checker.CheckTakenUp()
		require.Len(t, checker.Violations(), violations, "%d go on", goneOn)
	}
	var checker guarantee.Checker
	receive(&checker, "0", "0", "1a 2a")
	checker.CheckTakenUp()
	require.Len(t, checker.Violations(), 1, "none is taken up")
}

// receive records an attempt of a stream with its events.
func receive(checker *guarantee.Checker, stream, attempt, events string) {
	checker.Sent(guarantee.Attempt{
		ID:     attempt,
		Stream: stream,
	})
	for _, event := range strings.Fields(events) {
		checker.ReceivedEvent(guarantee.StreamEvent{
			Attempt: attempt,
			Number:  int(event[0] - '0'),
			Version: event[1:],
			At:      time.Now(),
		})
	}
}
