package ledger

// This file tests edits that name a revision: the highest wins, whatever the
// order in which they come and however often.

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func replaceWith(revision uint64, text string) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_EditRules{
			EditRules: &pb.EditRules{
				Revision: revision,
				Content:  []byte("rules " + text),
				Source:   []byte("source " + text),
			},
		},
	}
}

func TestHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &Ledger{}
		var highest uint64
		want := ""
		var lastVersion uint64
		for i := range rapid.IntRange(1, 40).Draw(rt, "edits") {
			revision := rapid.Uint64Range(1, 12).Draw(rt, "revision")
			text := fmt.Sprintf("%d-%d", revision, rapid.IntRange(0, 2).Draw(rt, "content"))
			r := l.Apply(uint64(i+1), replaceWith(revision, text))
			require.Empty(rt, r.GetFailure(), "an edit that was overtaken is acknowledged")
			require.Equal(rt, revision <= highest, r.GetRepeated())
			if revision > highest {
				highest, want = revision, text
			}
			version, content := l.Rules()
			held, source := l.Source()
			require.Equal(rt, highest, held)
			require.Equal(rt, "rules "+want, string(content))
			require.Equal(rt, "source "+want, string(source))
			require.GreaterOrEqual(rt, version, lastVersion)
			lastVersion = version
			if rapid.Bool().Draw(rt, "restart") {
				data, err := l.Encode()
				require.NoError(rt, err)
				l = &Ledger{}
				require.NoError(rt, l.Restore(data))
			}
		}
	})
}

// TestRevisionAndEditsMix: an edit by version goes on from what a revision put
// in force, and the next revision replaces it.
func TestRevisionAndEditsMix(t *testing.T) {
	l := &Ledger{}
	l.Apply(1, replaceWith(7, "a"))
	r := l.Apply(2, &pb.Command{
		Kind: &pb.Command_EditRules{
			EditRules: &pb.EditRules{
				BaseVersion: 1,
				Content:     []byte("by hand"),
			},
		},
	})
	require.Empty(t, r.GetFailure())
	require.EqualValues(t, 2, r.GetRuleVersion())
	l.Apply(3, replaceWith(7, "b"))
	_, content := l.Rules()
	require.Equal(t, "by hand", string(content))
	l.Apply(4, replaceWith(9, "c"))
	version, content := l.Rules()
	require.EqualValues(t, 3, version)
	require.Equal(t, "rules c", string(content))
}
