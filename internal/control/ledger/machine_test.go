package ledger

// This file runs random sequences of claims, dispatches, pauses, crashes, lost
// replies and retries against the ledger. It checks that no key is executed
// twice and that a claim recorded as not run was not executed.

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// attempt is one router's attempt to execute the request with a given key.
type attempt struct {
	key        string
	holder     string
	number     uint64
	granted    bool // the attempt received a reply that grants the key
	dispatched bool
	ended      bool // the attempt settled the claim, ended without a dispatch, or crashed
}

// claimHarness holds the ledger under test and the attempts made so far.
type claimHarness struct {
	ledger     Ledger
	index      uint64
	attempts   []*attempt
	executions map[string]int
}

func (c *claimHarness) apply(cmd *pb.Command) *pb.Result {
	c.index++
	return c.ledger.Apply(c.index, cmd)
}

func (c *claimHarness) claim(a *attempt) *pb.Result {
	return c.apply(&pb.Command{
		Kind: &pb.Command_ClaimKey{
			ClaimKey: &pb.ClaimKey{
				Key:     a.key,
				Holder:  a.holder,
				Attempt: a.number,
				KeyTime: 100,
			},
		},
	})
}

func (c *claimHarness) settle(a *attempt, o pb.Outcome, operator bool) *pb.Result {
	s := &pb.SettleKey{
		Key:      a.key,
		Holder:   a.holder,
		Attempt:  a.number,
		Outcome:  o,
		Operator: operator,
	}
	if operator {
		s.Holder, s.Reason = "", "set by an operator"
	}
	return c.apply(&pb.Command{
		Kind: &pb.Command_SettleKey{
			SettleKey: s,
		},
	})
}

// check fails the test if a key was executed twice, or if a holder recorded a
// key as not run that was executed.
func (c *claimHarness) check(t *rapid.T) {
	for key, n := range c.executions {
		if n > 1 {
			t.Fatalf("key %s was executed %d times", key, n)
		}
	}
	for _, row := range c.ledger.claims {
		if row.GetSettled() && row.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && c.executions[row.GetKey()] > 0 && row.GetReason() == "" {
			t.Fatalf("key %s is recorded as not run but was executed", row.GetKey())
		}
	}
}

// pickAttempt returns a random attempt for which ok holds, or nil.
func (c *claimHarness) pickAttempt(t *rapid.T, ok func(*attempt) bool) *attempt {
	var matching []*attempt
	for _, a := range c.attempts {
		if ok(a) {
			matching = append(matching, a)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(t, "attempt")]
}

func TestMachineClaims(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &claimHarness{
			executions: make(map[string]int),
		}
		c.ledger.Checker = &invariant.Checker{
			Report: func(name, detail string) { rt.Fatalf("invariant %s: %s", name, detail) },
		}
		holdsClaim := func(a *attempt) bool { return a.granted && !a.ended }
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				a := &attempt{
					key:    fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key")),
					holder: fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "holder")),
					number: uint64(len(c.attempts) + 1),
				}
				c.attempts = append(c.attempts, a)
				// If the reply is lost, the attempt may retry later.
				if granted := c.claim(a).GetGranted(); rapid.Bool().Draw(t, "answered") {
					a.granted = granted
				}
			},
			"attemptRetry": func(t *rapid.T) {
				a := c.pickAttempt(t, func(a *attempt) bool { return !a.granted && !a.ended })
				if a != nil {
					a.granted = c.claim(a).GetGranted()
				}
			},
			"dispatch": func(t *rapid.T) {
				// The holder may have been paused for any time before this.
				a := c.pickAttempt(t, func(a *attempt) bool { return holdsClaim(a) && !a.dispatched })
				if a != nil {
					a.dispatched = true
					c.executions[a.key]++
				}
			},
			"done": func(t *rapid.T) {
				if a := c.pickAttempt(t, func(a *attempt) bool { return holdsClaim(a) && a.dispatched }); a != nil {
					a.ended = true
					c.settle(a, pb.Outcome_OUTCOME_DONE, false)
				}
			},
			"doubt": func(t *rapid.T) {
				if a := c.pickAttempt(t, func(a *attempt) bool { return holdsClaim(a) && a.dispatched }); a != nil {
					a.ended = true
					c.settle(a, pb.Outcome_OUTCOME_IN_DOUBT, false)
				}
			},
			"giveUp": func(t *rapid.T) {
				// The attempt has dispatched nothing and never will.
				if a := c.pickAttempt(t, func(a *attempt) bool { return !a.dispatched && !a.ended }); a != nil {
					a.ended = true
					c.settle(a, pb.Outcome_OUTCOME_NOT_RUN, false)
				}
			},
			"crash": func(t *rapid.T) {
				if a := c.pickAttempt(t, func(a *attempt) bool { return !a.ended }); a != nil {
					a.ended = true
				}
			},
			"operator": func(t *rapid.T) {
				a := c.pickAttempt(t, func(*attempt) bool { return true })
				if a == nil {
					return
				}
				open := !c.ledger.claims[claimKey{key: a.key}].GetSettled()
				o := rapid.SampledFrom([]pb.Outcome{pb.Outcome_OUTCOME_DONE, pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_IN_DOUBT}).Draw(t, "outcome")
				r := c.settle(a, o, true)
				if open && o == pb.Outcome_OUTCOME_NOT_RUN && r.GetFailure() == "" {
					t.Fatalf("an operator settled the open claim on key %s as not run", a.key)
				}
			},
			"snapshot": func(t *rapid.T) {
				b, err := c.ledger.Encode()
				require.NoError(t, err)
				require.NoError(t, c.ledger.Restore(b))
			},
			"": c.check,
		})
	})
}

func TestExpiredKeyIsRefused(t *testing.T) {
	c := &claimHarness{}
	a := &attempt{
		key:    "k",
		holder: "r",
		number: 1,
	}
	require.True(t, c.claim(a).GetGranted())
	c.apply(&pb.Command{
		Kind: &pb.Command_ExpireClaims{
			ExpireClaims: &pb.ExpireClaims{
				Before: 101,
			},
		},
	})
	require.Empty(t, c.ledger.claims)
	require.Equal(t, "requestKeyExpired", c.claim(a).GetFailure())
}

func edit(base uint64, content string) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_EditRules{
			EditRules: &pb.EditRules{
				BaseVersion: base,
				Content:     []byte(content),
			},
		},
	}
}

func TestRuleEdits(t *testing.T) {
	c := &claimHarness{}
	require.EqualValues(t, 1, c.apply(edit(0, "a")).GetRuleVersion())
	conflict := c.apply(edit(0, "b"))
	require.Equal(t, "ruleConflict", conflict.GetFailure())
	require.EqualValues(t, 1, conflict.GetRuleVersion())
	require.EqualValues(t, 2, c.apply(edit(1, "b")).GetRuleVersion())
	repeated := c.apply(edit(0, "a"))
	require.True(t, repeated.GetRepeated())
	require.EqualValues(t, 1, repeated.GetRuleVersion())
	version, content := c.ledger.Rules()
	require.EqualValues(t, 2, version)
	require.Equal(t, "b", string(content))
}

// TestEditsSince checks that applying EditsSince(v) to the text of version v gives
// the current text, and that it returns false if the text of one of these edits
// has been dropped.
func TestEditsSince(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &claimHarness{}
		texts := [][]byte{nil}
		line := rapid.StringOfN(rapid.RuneFrom([]rune("ab\n")), 0, 6, -1)
		for v := range rapid.IntRange(1, 100).Draw(rt, "edits") {
			text := "a long first line that stays the same in every version\n" + line.Draw(rt, "text")
			texts = append(texts, []byte(text))
			if c.apply(edit(uint64(v), text)).GetRepeated() {
				texts = texts[:len(texts)-1]
			}
		}
		version, current := c.ledger.Rules()
		for from := range version {
			edits, ok := c.ledger.EditsSince(from)
			if !ok {
				continue
			}
			text := texts[from]
			for _, e := range edits {
				text = []byte(string(text[:e.GetPrefix()]) + string(e.GetMiddle()) + string(text[uint64(len(text))-e.GetSuffix():]))
			}
			require.Equal(rt, string(current), string(text))
		}
		if version > maxEditTexts+1 {
			_, ok := c.ledger.EditsSince(version - maxEditTexts - 1)
			require.False(rt, ok)
		}
	})
}

// FuzzRestore checks that Restore accepts or rejects arbitrary bytes without a
// panic.
func FuzzRestore(f *testing.F) {
	var l Ledger
	l.Apply(1, edit(0, "a"))
	b, err := l.Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, in []byte) {
		var l Ledger
		_ = l.Restore(in)
		_, _ = l.Encode()
	})
}
