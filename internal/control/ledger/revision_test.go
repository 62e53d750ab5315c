package ledger

// This file tests edits that have a revision number: the highest revision wins,
// in whatever order edits arrive and however often they are repeated.

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func revisionEdit(revision uint64, text string) *pb.Command {
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
			r := l.Apply(uint64(i+1), revisionEdit(revision, text))
			require.Empty(rt, r.GetFailure(), "an edit with an outdated revision must be acknowledged, not fail")
			require.Equal(rt, revision <= highest, r.GetRepeated())
			if revision > highest {
				highest, want = revision, text
			}
			version, content := l.Rules()
			heldRevision, source := l.RuleSource()
			require.Equal(rt, highest, heldRevision)
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

// TestVersionedEditAfterRevision checks that an edit based on a version applies
// to rules that an edit with a revision installed, and that the next higher
// revision replaces the result.
func TestVersionedEditAfterRevision(t *testing.T) {
	l := &Ledger{}
	l.Apply(1, revisionEdit(7, "a"))
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
	l.Apply(3, revisionEdit(7, "b"))
	_, content := l.Rules()
	require.Equal(t, "by hand", string(content))
	l.Apply(4, revisionEdit(9, "c"))
	version, content := l.Rules()
	require.EqualValues(t, 3, version)
	require.Equal(t, "rules c", string(content))
}
