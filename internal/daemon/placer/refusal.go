package placer

// This file defines the faults that callers get for refusals of the schedulers.

import (
	"strconv"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/routing/scheduler"
)

// refusalFault returns the fault for a decision that refuses a request.
func refusalFault(service string, d scheduler.Decision) error {
	kind := fault.Overloaded
	switch d.Refusal {
	case scheduler.NoServer, scheduler.NoVersion, "":
		kind = fault.NoEngine
	case scheduler.VersionUnknown:
		return &fault.Fault{
			Kind:       fault.StreamVersionUnknown,
			Subject:    service,
			Advice:     "servers of the version that began the stream may have started anew with another one",
			RetryAfter: d.RetryAfter,
		}
	case scheduler.RetryBudget:
		kind = fault.RetryBudget
	case scheduler.TooLarge:
		return fault.New(fault.PromptTooLarge, service, "the prompt and its maximum output are larger than the memory of an engine")
	case scheduler.Quarantined:
		return &fault.Fault{
			Kind:       fault.PromptQuarantined,
			Subject:    strconv.FormatUint(d.Quarantine, 16),
			Advice:     "parts of the prompt crash the servers that answer them",
			RetryAfter: d.RetryAfter,
		}
	case scheduler.RequestQuarantined:
		return &fault.Fault{
			Kind:       fault.RequestQuarantined,
			Subject:    strconv.FormatUint(d.Quarantine, 16),
			Advice:     "the request crashes the servers that run it",
			RetryAfter: d.RetryAfter,
		}
	case scheduler.RequestSuspected:
		return &fault.Fault{
			Kind:       fault.RequestQuarantined,
			Subject:    service,
			Advice:     "the last servers that ran the request have crashed",
			RetryAfter: d.RetryAfter,
		}
	}
	return &fault.Fault{
		Kind:       kind,
		Subject:    service,
		RetryAfter: d.RetryAfter,
	}
}
