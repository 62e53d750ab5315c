// Package replay runs recorded traces through the decision code: admission
// control, the ledger of idempotency keys and rules, and stream reassembly.
//
// A trace is a file of JSON lines; empty lines and lines that begin with // are
// skipped. Each line names a component (the admission gate of a backend server,
// the ledger, called claim, or a stream) and one step to run on it. Steps of a
// gate also give the time. The replay prints one line with the outcome of each
// step. The same trace always gives the same outcomes, so a test can compare
// them with a golden file.
package replay

// This file defines Replayer.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control/ledger"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/stream"
)

// step is one line of a trace. Each component reads only the fields it needs.
type step struct {
	Part   string `json:"part"`
	Action string `json:"do"`
	AtMs   int64  `json:"atMs"`

	// Fields of the admission gate of a backend server; a claim also reads Account,
	// and a stream also reads ID.
	Server       string  `json:"backendServer"`
	Slots        int     `json:"slots"`
	ID           string  `json:"id"`
	Account      string  `json:"clientAccount"`
	Share        int     `json:"share"`
	Class        int     `json:"class"`
	Cost         int     `json:"cost"`
	Bound        float64 `json:"bound"`
	OthersLoad   int     `json:"othersLoad"`
	Servers      int     `json:"servers"`
	AccountLimit int     `json:"accountLimit"`
	RemainingMs  int64   `json:"remainingMs"`

	// Fields of a command to the ledger: a claim of an idempotency key, its
	// settlement, the expiry of claims older than KeyTime, or an edit of the rules.
	Service     string `json:"service"`
	Key         string `json:"key"`
	KeyTime     int64  `json:"keyTime"`
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Attempt     uint64 `json:"attempt"`
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason"`
	Operator    bool   `json:"operator"`
	BaseVersion uint64 `json:"base"`
	Content     string `json:"content"`

	// Fields of a frame of a response stream.
	Request  string `json:"request"`
	Sequence uint64 `json:"sequence"`
	Count    uint64 `json:"count"`
	Window   int    `json:"window"`
}

// Replayer replays traces; its zero value is ready for use.
type Replayer struct {
	checker invariant.Checker
	// gates holds the admission gates by backend server.
	gates map[string]*admission.Gate
	// offered holds the requests offered to a gate, by request id.
	offered map[string]routing.Request
	ledger  ledger.Ledger
	// lastIndex is the log index of the last command applied to the ledger.
	lastIndex uint64
	// streams holds the assemblers by the id of the stream.
	streams map[string]*stream.Assembler
}

// Run replays the trace in r and writes the outcomes to w. It returns an error
// at the first line that can't be parsed or names an unknown step, and after
// the last line if an invariant was violated. name is the file name in errors.
func (rp *Replayer) Run(name string, r io.Reader, w io.Writer) error {
	rp.gates = make(map[string]*admission.Gate)
	rp.offered = make(map[string]routing.Request)
	rp.streams = make(map[string]*stream.Assembler)
	rp.ledger.Checker = &rp.checker
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for line := 1; sc.Scan(); line++ {
		text := strings.TrimSpace(sc.Text())
		if text == "" || strings.HasPrefix(text, "//") {
			continue
		}
		var s step
		d := json.NewDecoder(strings.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&s); err != nil {
			return fault.Wrap(fault.BadRequest, fmt.Sprintf("%s:%d:1", name, line), err)
		}
		out, err := rp.runStep(s)
		if err != nil {
			return fault.Wrap(fault.BadRequest, fmt.Sprintf("%s:%d:1", name, line), err)
		}
		fmt.Fprintf(w, "%d %s %s: %s\n", line, s.Part, s.Action, out)
	}
	if err := sc.Err(); err != nil {
		return fault.Wrap(fault.BadRequest, name, err)
	}
	if v := rp.checker.Counts(); len(v) > 0 {
		return fault.New(fault.Internal, name, fmt.Sprintf("violated invariants: %v", v))
	}
	return nil
}

func (rp *Replayer) runStep(s step) (string, error) {
	switch s.Part {
	case "gate":
		return rp.gate(s)
	case "claim":
		return rp.claim(s)
	case "stream":
		return rp.stream(s)
	}
	return "", fault.New(fault.BadRequest, s.Part, "unknown part of a trace; use gate, claim or stream")
}

func (rp *Replayer) gate(s step) (string, error) {
	g := rp.gates[s.Server]
	if g == nil {
		g = &admission.Gate{
			Server:  s.Server,
			Slots:   s.Slots,
			Checker: &rp.checker,
		}
		rp.gates[s.Server] = g
	}
	now := time.Duration(s.AtMs) * time.Millisecond
	switch s.Action {
	case "offer":
		r := routing.Request{
			ID:      s.ID,
			Account: s.Account,
			Share:   s.Share,
			Class:   s.Class,
			Cost:    s.Cost,
		}
		rp.offered[s.ID] = r
		d := g.Offer(now, r, admission.Params{
			Bound:        s.Bound,
			OthersLoad:   s.OthersLoad,
			Servers:      s.Servers,
			AccountLimit: s.AccountLimit,
			Remaining:    time.Duration(s.RemainingMs) * time.Millisecond,
		})
		return describeDecision(d, g.Load()), nil
	case "finish":
		next := g.Finish(now, rp.offered[s.ID])
		ids := make([]string, len(next))
		for i, n := range next {
			ids[i] = n.ID
		}
		return fmt.Sprintf("starts %v, load %d", ids, g.Load()), nil
	}
	return "", fault.New(fault.BadRequest, s.Action, "unknown step of a gate; use offer or finish")
}

func describeDecision(d routing.Decision, load int) string {
	switch {
	case d.Refused != "":
		return fmt.Sprintf("refused %s, load %d", d.Refused, load)
	case d.Started:
		return fmt.Sprintf("started, load %d", load)
	}
	return fmt.Sprintf("queued, load %d", load)
}

// parseOutcome returns the outcome with the given name in traces, and
// OUTCOME_UNSPECIFIED for any other name.
func parseOutcome(name string) pb.Outcome {
	switch name {
	case "done":
		return pb.Outcome_OUTCOME_DONE
	case "notRun":
		return pb.Outcome_OUTCOME_NOT_RUN
	case "inDoubt":
		return pb.Outcome_OUTCOME_IN_DOUBT
	}
	return pb.Outcome_OUTCOME_UNSPECIFIED
}

func (rp *Replayer) claim(s step) (string, error) {
	c := &pb.Command{}
	switch s.Action {
	case "claim":
		c.Kind = &pb.Command_ClaimKey{
			ClaimKey: &pb.ClaimKey{
				ClientAccount: s.Account,
				Service:       s.Service,
				Key:           s.Key,
				Holder:        s.Holder,
				Incarnation:   s.Incarnation,
				Attempt:       s.Attempt,
				KeyTime:       s.KeyTime,
			},
		}
	case "settle":
		c.Kind = &pb.Command_SettleKey{
			SettleKey: &pb.SettleKey{
				ClientAccount: s.Account,
				Service:       s.Service,
				Key:           s.Key,
				Holder:        s.Holder,
				Incarnation:   s.Incarnation,
				Attempt:       s.Attempt,
				Outcome:       parseOutcome(s.Outcome),
				Reason:        s.Reason,
				Operator:      s.Operator,
			},
		}
	case "expire":
		c.Kind = &pb.Command_ExpireClaims{
			ExpireClaims: &pb.ExpireClaims{
				Before: s.KeyTime,
			},
		}
	case "edit":
		c.Kind = &pb.Command_EditRules{
			EditRules: &pb.EditRules{
				BaseVersion: s.BaseVersion,
				Content:     []byte(s.Content),
			},
		}
	default:
		return "", fault.New(fault.BadRequest, s.Action, "unknown step of a claim; use claim, settle, expire or edit")
	}
	rp.lastIndex++
	return describeResult(rp.ledger.Apply(rp.lastIndex, c)), nil
}

func describeResult(r *pb.Result) string {
	switch {
	case r.GetFailure() != "" && r.GetRuleVersion() != 0:
		return fmt.Sprintf("refused %s, version %d", r.GetFailure(), r.GetRuleVersion())
	case r.GetFailure() != "":
		return "refused " + r.GetFailure()
	case r.GetRuleVersion() != 0:
		return fmt.Sprintf("version %d, repeated %t", r.GetRuleVersion(), r.GetRepeated())
	case r.GetGranted():
		return "granted"
	case r.GetClaim() == nil:
		return "ok"
	case !r.GetClaim().GetSettled():
		return "held by " + r.GetClaim().GetHolder()
	}
	return "settled " + strings.TrimPrefix(r.GetClaim().GetOutcome().String(), "OUTCOME_")
}

func (rp *Replayer) stream(s step) (string, error) {
	a := rp.streams[s.ID]
	if a == nil {
		a = &stream.Assembler{
			RequestID: s.ID,
			Window:    s.Window,
		}
		rp.streams[s.ID] = a
	}
	switch s.Action {
	case "frame", "end":
		out, err := a.Accept(&pb.GenerateResponse{
			RequestId: s.Request,
			Sequence:  s.Sequence,
			End:       s.Action == "end",
			Count:     s.Count,
		})
		if err != nil {
			return "failed " + fault.KindOf(err), nil
		}
		return fmt.Sprintf("delivers %d, next %d, whole %t", len(out), a.Next, a.Done()), nil
	case "resume":
		rp.streams[s.ID] = &stream.Assembler{
			RequestID: s.ID,
			Next:      a.Next,
		}
		return fmt.Sprintf("from %d", a.Next), nil
	case "close":
		if err := a.Close(); err != nil {
			return "failed " + fault.KindOf(err), nil
		}
		return "whole", nil
	}
	return "", fault.New(fault.BadRequest, s.Action, "unknown step of a stream; use frame, end, resume or close")
}
