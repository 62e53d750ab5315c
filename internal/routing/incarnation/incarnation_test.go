package incarnation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/incarnation"
)

var (
	ready    = incarnation.Listing{Address: "a:1", JoinedMs: 1}
	draining = incarnation.Listing{Address: "a:1", JoinedMs: 1, Leaving: true}
	rejoined = incarnation.Listing{Address: "a:1", JoinedMs: 2}
	moved    = incarnation.Listing{Address: "b:1", JoinedMs: 1}
)

// step is something that is heard of a server at a time, with the evidence that it has to give.
type step struct {
	at        time.Duration
	list      *incarnation.Listing
	announced bool
	opened    time.Duration
	bornMs    int64
	evidence  incarnation.Evidence
}

// TestEvidence guards against an announcement that holds for the incarnation after, or one that an older
// list, answer or time of start ends, in whatever order they come.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		steps   []step
		leaving bool
		// asked is true if the server has to be asked at the end.
		asked bool
	}{
		"still listed as ready":               {steps: []step{{at: 10, announced: true}, {at: 11, list: &ready}, {at: 12, list: &ready}}, leaving: true},
		"listed as leaving":                   {steps: []step{{at: 10, announced: true}, {at: 11, list: &draining}, {at: 30, list: &draining}}, leaving: true},
		"ready again":                         {steps: []step{{at: 10, announced: true}, {at: 11, list: &draining}, {at: 15, list: &ready, evidence: incarnation.ReadyAgain}}},
		"ready and joined again":              {steps: []step{{at: 10, announced: true}, {at: 11, list: &draining}, {at: 15, list: &rejoined, evidence: incarnation.ReadyAgain}}},
		"joined again":                        {steps: []step{{at: 10, announced: true}, {at: 15, list: &rejoined, evidence: incarnation.JoinedAgain}}},
		"at another address":                  {steps: []step{{at: 10, announced: true}, {at: 11, list: &moved, evidence: incarnation.NewAddress}}},
		"listed a second time":                {steps: []step{{at: 10, list: &ready}}},
		"answer on a connection of before":    {steps: []step{{at: 10, announced: true}, {at: 14, opened: 9}}, leaving: true, asked: true},
		"answer on a later connection":        {steps: []step{{at: 10, announced: true}, {at: 14, opened: 13, evidence: incarnation.Answered}}},
		"late announcement of the one before": {steps: []step{{at: 14, opened: 13}, {at: 13, announced: true}}},
		"leaves again after that":             {steps: []step{{at: 10, announced: true}, {at: 14, opened: 13, evidence: incarnation.Answered}, {at: 15, announced: true}}, leaving: true},
		// The list shows the first restart only after the second incarnation has announced that it leaves.
		"leaves twice within the lag": {steps: []step{{at: 10, announced: true}, {at: 13, opened: 12, evidence: incarnation.Answered}, {at: 14, announced: true}, {at: 14, list: &draining}, {at: 15, list: &ready, evidence: incarnation.ReadyAgain}}, leaving: true, asked: true},
		"joined within the lag":       {steps: []step{{at: 14, announced: true}, {at: 15, list: &rejoined, evidence: incarnation.JoinedAgain}}, leaving: true, asked: true},
		"first time of start":         {steps: []step{{at: 10, announced: true}, {at: 11, bornMs: 5}}, leaving: true},
		"another time of start":       {steps: []step{{at: 9, bornMs: 5}, {at: 10, announced: true}, {at: 11, bornMs: 6, evidence: incarnation.BornAgain}}, leaving: true, asked: true},
		"an earlier time of start":    {steps: []step{{at: 9, bornMs: 5}, {at: 10, bornMs: 4}}},
		"nothing confirms it":         {steps: []step{{at: 10, announced: true}, {at: 14, list: &ready}}, leaving: true, asked: true},
	} {
		t.Run(name, func(t *testing.T) {
			var s incarnation.State
			s.List(0, ready)
			last := time.Duration(0)
			for n, step := range c.steps {
				now := step.at * time.Second
				last = max(last, now)
				var e incarnation.Evidence
				switch {
				case step.list != nil:
					e = s.List(now, *step.list)
				case step.announced:
					s.Announce(now)
				case step.opened > 0:
					e = s.Answer(step.opened * time.Second)
				default:
					e = s.Birth(now, step.bornMs)
				}
				require.Equal(t, step.evidence, e, "step %d", n)
			}
			require.Equal(t, c.leaving, s.Leaving())
			require.Equal(t, c.asked, s.AskDue(last))
		})
	}
}

// TestServerIsAskedAtABoundedRate: an announcement that nothing confirms is not believed without end, and
// its server is asked ever more rarely.
func TestServerIsAskedAtABoundedRate(t *testing.T) {
	var s incarnation.State
	s.List(0, ready)
	require.True(t, s.Announce(time.Second))
	require.False(t, s.Announce(time.Second))
	var asked []float64
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if s.AskDue(now) {
			s.Ask(now)
			asked = append(asked, now.Seconds())
		}
	}
	require.Equal(t, []float64{5, 6, 8, 12, 20, 28, 36, 44, 52}, asked)
	s.List(time.Minute, draining)
	require.False(t, s.AskDue(2*time.Minute), "the list confirms it")
}
