// Package fault defines the one error type that crosses the system's edges.
//
// A Fault says what failed (its kind), on what (its subject), what became of
// the request (its outcome) and what the caller can do (its advice). The kind
// alone decides the Connect code and the outcome, so that the two can never
// disagree between call sites. Inner causes are wrapped with samber/oops by
// the part that saw them.
package fault

// This file defines Fault, its kinds and their mapping to Connect codes.

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Kind names a failure; the text is stable and travels on the wire.
type Kind = string

// The kinds of failure. Those of the first group are proof that nothing was
// dispatched; InDoubt and ShortAnswer are not.
const (
	UnknownService  Kind = "unknownService"
	UnknownAccount  Kind = "unknownClientAccount"
	UnknownKind     Kind = "unknownKindOfWork"
	UnknownServer   Kind = "unknownBackendServer"
	UnknownRoute    Kind = "unknownRoute"
	UnknownKey      Kind = "unknownKey"
	BadChat         Kind = "badChatId"
	BadRequest      Kind = "badRequest"
	BadKey          Kind = "badRequestKey"
	KeyExpired      Kind = "requestKeyExpired"
	BodyTooLarge    Kind = "bodyTooLarge"
	BadRules        Kind = "badRuleFile"
	RuleConflict    Kind = "ruleConflict"
	RulesStale      Kind = "rulesNotFresh"
	NoQuorum        Kind = "noQuorum"
	NotLeader       Kind = "notLeader"
	NoEngine        Kind = "noEngine"
	Overloaded      Kind = "overloaded"
	DeadlineTooNear Kind = "deadlineTooNear"
	AccountLimit    Kind = "accountLimit"
	RetryBudget     Kind = "retryBudget"
	NotRun          Kind = "notRun"
	// KeyNotRun is proof from the control log that a request key did not run
	// and never will.
	KeyNotRun    Kind = "keyNotRun"
	Leaving      Kind = "leaving"
	ClaimSettled Kind = "claimSettled"
	BadSetting   Kind = "badSetting"

	// OverBound, NotOwner, NotCached, HeldBack and Unreachable ask to try
	// elsewhere; Unreachable means that nothing was sent.
	OverBound   Kind = "overBound"
	NotOwner    Kind = "notOwner"
	NotCached   Kind = "notCached"
	HeldBack    Kind = "heldBack"
	Unreachable Kind = "unreachable"

	// LinkBroken means that a request was sent and no answer came.
	LinkBroken Kind = "linkBroken"
	// TimedOut means that the time was up after the request was sent.
	TimedOut    Kind = "timedOut"
	InDoubt     Kind = "inDoubt"
	ShortAnswer Kind = "shortAnswer"
	WrongFrame  Kind = "wrongFrame"
	Internal    Kind = "internal"

	// DamagedLog, BrokenLog and DamagedSnapshot stop a replica; PlatformList
	// means that the platform's list can't be read, and DamagedText that packed
	// bytes can't be unpacked.
	DamagedLog      Kind = "damagedLog"
	BrokenLog       Kind = "brokenLog"
	DamagedSnapshot Kind = "damagedSnapshot"
	PlatformList    Kind = "platformList"
	DamagedText     Kind = "damagedText"
)

type class struct {
	code    connect.Code
	outcome pb.Outcome
}

// classOf holds the meaning of each kind.
func classOf(k Kind) class {
	notRun := pb.Outcome_OUTCOME_NOT_RUN
	switch k {
	case UnknownKey:
		return class{code: connect.CodeUnauthenticated, outcome: notRun}
	case UnknownService, UnknownAccount, UnknownServer, UnknownKind, UnknownRoute:
		return class{code: connect.CodeNotFound, outcome: notRun}
	case BadChat, BadRequest, BadKey, BadRules, BadSetting:
		return class{code: connect.CodeInvalidArgument, outcome: notRun}
	case ClaimSettled:
		return class{code: connect.CodeFailedPrecondition, outcome: notRun}
	case KeyExpired:
		// What became of the key is no longer known.
		return class{code: connect.CodeFailedPrecondition, outcome: pb.Outcome_OUTCOME_IN_DOUBT}
	case BodyTooLarge, Overloaded, AccountLimit, RetryBudget:
		return class{code: connect.CodeResourceExhausted, outcome: notRun}
	case RuleConflict:
		return class{code: connect.CodeAborted, outcome: notRun}
	case DeadlineTooNear:
		return class{code: connect.CodeDeadlineExceeded, outcome: notRun}
	case RulesStale, NoQuorum, NotLeader, NoEngine, NotRun, KeyNotRun, Leaving, OverBound, NotOwner, NotCached, HeldBack, Unreachable:
		return class{code: connect.CodeUnavailable, outcome: notRun}
	case InDoubt, LinkBroken, TimedOut:
		return class{code: connect.CodeUnknown, outcome: pb.Outcome_OUTCOME_IN_DOUBT}
	case ShortAnswer, WrongFrame:
		return class{code: connect.CodeDataLoss, outcome: pb.Outcome_OUTCOME_IN_DOUBT}
	default:
		return class{code: connect.CodeInternal, outcome: pb.Outcome_OUTCOME_IN_DOUBT}
	}
}

// Fault is a failure with a kind.
type Fault struct {
	Kind    Kind
	Subject string
	Advice  string
	// RetryAfter is the earliest useful retry; zero when none can help.
	RetryAfter time.Duration
	// RuleVersion is the version in force, for RuleConflict.
	RuleVersion uint64
	Cause       error
}

var _ error = (*Fault)(nil)

// Error implements error.
func (f *Fault) Error() string {
	s := f.Kind
	if f.Subject != "" {
		s += " " + fmt.Sprintf("%q", f.Subject)
	}
	if f.Advice != "" {
		s += ": " + f.Advice
	}
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// Outcome returns what became of the request.
func (f *Fault) Outcome() pb.Outcome { return classOf(f.Kind).outcome }

// MayHaveRun reports whether err leaves open that the request was run.
func MayHaveRun(err error) bool {
	var f *Fault
	return err != nil && (!errors.As(err, &f) || f.Outcome() != pb.Outcome_OUTCOME_NOT_RUN)
}

// New returns a fault of a kind on a subject.
func New(kind Kind, subject, advice string) *Fault {
	return &Fault{
		Kind:    kind,
		Subject: subject,
		Advice:  advice,
	}
}

// Wrap returns a fault whose cause is err, with the call stack kept by oops.
func Wrap(kind Kind, subject string, err error) *Fault {
	return &Fault{
		Kind:    kind,
		Subject: subject,
		Cause:   oops.Code(kind).Wrap(err),
	}
}

// KindOf returns the kind of err, Internal when it carries none.
func KindOf(err error) Kind {
	var f *Fault
	if errors.As(err, &f) {
		return f.Kind
	}
	if d := Detail(err); d != nil {
		return d.GetKind()
	}
	return Internal
}

// Connect turns err into a Connect error with a FailureDetail.
func Connect(err error) error {
	if err == nil {
		return nil
	}
	var f *Fault
	if !errors.As(err, &f) {
		f = &Fault{
			Kind:  Internal,
			Cause: err,
		}
	}
	c := classOf(f.Kind)
	ce := connect.NewError(c.code, f)
	d, derr := connect.NewErrorDetail(&pb.FailureDetail{
		Kind:         f.Kind,
		Outcome:      c.outcome,
		Subject:      f.Subject,
		Advice:       f.Advice,
		RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
		RuleVersion:  f.RuleVersion,
	})
	if derr == nil {
		ce.AddDetail(d)
	}
	return ce
}

// Detail returns the FailureDetail that err carries, or nil.
func Detail(err error) *pb.FailureDetail {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		v, err := d.Value()
		if err != nil {
			continue
		}
		if fd, ok := v.(*pb.FailureDetail); ok {
			return fd
		}
	}
	return nil
}
