package ledger

// This file drives claims through random holders that dispatch, freeze, die,
// lose answers and repeat, and checks that no key runs twice and that what is
// recorded as not run did not run.

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/check/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// attempt is one router's try of a key, at a step of its own.
type attempt struct {
	key        string
	holder     string
	number     uint64
	granted    bool
	dispatched bool
	ended      bool
}

type claims struct {
	ledger   Ledger
	index    uint64
	attempts []*attempt
	ran      map[string]int
}

func (c *claims) apply(cmd *pb.Command) *pb.Result {
	c.index++
	return c.ledger.Apply(c.index, cmd)
}

func (c *claims) claim(a *attempt) *pb.Result {
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

func (c *claims) settle(a *attempt, o pb.Outcome, operator bool) *pb.Result {
	s := &pb.SettleKey{
		Key:      a.key,
		Holder:   a.holder,
		Attempt:  a.number,
		Outcome:  o,
		Operator: operator,
	}
	if operator {
		s.Holder, s.Reason = "", "an operator says so"
	}
	return c.apply(&pb.Command{
		Kind: &pb.Command_SettleKey{
			SettleKey: s,
		},
	})
}

// check asserts the promises on each key.
func (c *claims) check(t *rapid.T) {
	for key, n := range c.ran {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for _, row := range c.ledger.claims {
		if row.GetSettled() && row.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && c.ran[row.GetKey()] > 0 && row.GetReason() == "" {
			t.Fatalf("%s is recorded as not run, and ran", row.GetKey())
		}
	}
}

// pick returns an attempt in a state, or nil.
func (c *claims) pick(t *rapid.T, ok func(*attempt) bool) *attempt {
	var some []*attempt
	for _, a := range c.attempts {
		if ok(a) {
			some = append(some, a)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[rapid.IntRange(0, len(some)-1).Draw(t, "attempt")]
}

func TestMachineClaims(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &claims{
			ran: make(map[string]int),
		}
		c.ledger.Checker = &invariant.Checker{
			Report: func(name, detail string) { rt.Fatalf("invariant %s: %s", name, detail) },
		}
		holding := func(a *attempt) bool { return a.granted && !a.ended }
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				a := &attempt{
					key:    fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key")),
					holder: fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "holder")),
					number: uint64(len(c.attempts) + 1),
				}
				c.attempts = append(c.attempts, a)
				// The answer may be lost: the attempt may ask again later.
				if granted := c.claim(a).GetGranted(); rapid.Bool().Draw(t, "answered") {
					a.granted = granted
				}
			},
			"askAgain": func(t *rapid.T) {
				a := c.pick(t, func(a *attempt) bool { return !a.granted && !a.ended })
				if a != nil {
					a.granted = c.claim(a).GetGranted()
				}
			},
			"dispatch": func(t *rapid.T) {
				// A holder may have been frozen for any time before this.
				a := c.pick(t, func(a *attempt) bool { return holding(a) && !a.dispatched })
				if a != nil {
					a.dispatched = true
					c.ran[a.key]++
				}
			},
			"done": func(t *rapid.T) {
				if a := c.pick(t, func(a *attempt) bool { return holding(a) && a.dispatched }); a != nil {
					a.ended = true
					c.settle(a, pb.Outcome_OUTCOME_DONE, false)
				}
			},
			"doubt": func(t *rapid.T) {
				if a := c.pick(t, func(a *attempt) bool { return holding(a) && a.dispatched }); a != nil {
					a.ended = true
					c.settle(a, pb.Outcome_OUTCOME_IN_DOUBT, false)
				}
			},
			"giveUp": func(t *rapid.T) {
				// Nothing was dispatched and nothing will be.
				if a := c.pick(t, func(a *attempt) bool { return !a.dispatched && !a.ended }); a != nil {
					a.ended = true
					c.settle(a, pb.Outcome_OUTCOME_NOT_RUN, false)
				}
			},
			"die": func(t *rapid.T) {
				if a := c.pick(t, func(a *attempt) bool { return !a.ended }); a != nil {
					a.ended = true
				}
			},
			"operator": func(t *rapid.T) {
				a := c.pick(t, func(*attempt) bool { return true })
				if a == nil {
					return
				}
				open := !c.ledger.claims[claimKey{key: a.key}].GetSettled()
				o := rapid.SampledFrom([]pb.Outcome{pb.Outcome_OUTCOME_DONE, pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_IN_DOUBT}).Draw(t, "outcome")
				r := c.settle(a, o, true)
				if open && o == pb.Outcome_OUTCOME_NOT_RUN && r.GetFailure() == "" {
					t.Fatalf("an operator voided the open claim of %s", a.key)
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
	c := &claims{}
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
	c := &claims{}
	require.EqualValues(t, 1, c.apply(edit(0, "a")).GetRuleVersion())
	lost := c.apply(edit(0, "b"))
	require.Equal(t, "ruleConflict", lost.GetFailure())
	require.EqualValues(t, 1, lost.GetRuleVersion())
	require.EqualValues(t, 2, c.apply(edit(1, "b")).GetRuleVersion())
	again := c.apply(edit(0, "a"))
	require.True(t, again.GetRepeated())
	require.EqualValues(t, 1, again.GetRuleVersion())
	version, content := c.ledger.Rules()
	require.EqualValues(t, 2, version)
	require.Equal(t, "b", string(content))
}

// TestEditsSince: the edits after any version, applied in order, give the
// present text; versions too far back get none.
func TestEditsSince(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &claims{}
		texts := [][]byte{nil}
		line := rapid.StringOfN(rapid.RuneFrom([]rune("ab\n")), 0, 6, -1)
		for v := range rapid.IntRange(1, 100).Draw(rt, "edits") {
			text := "a long first line that stays the same in every version\n" + line.Draw(rt, "text")
			texts = append(texts, []byte(text))
			if c.apply(edit(uint64(v), text)).GetRepeated() {
				texts = texts[:len(texts)-1]
			}
		}
		version, now := c.ledger.Rules()
		for from := range version {
			edits, ok := c.ledger.EditsSince(from)
			if !ok {
				continue
			}
			text := texts[from]
			for _, e := range edits {
				text = []byte(string(text[:e.GetPrefix()]) + string(e.GetMiddle()) + string(text[uint64(len(text))-e.GetSuffix():]))
			}
			require.Equal(rt, string(now), string(text))
		}
		if version > keepEditText+1 {
			_, ok := c.ledger.EditsSince(version - keepEditText - 1)
			require.False(rt, ok)
		}
	})
}

// FuzzRestore: any bytes restore a state or are refused.
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
