// Package status converts faults to gRPC errors and back. The status details
// include a FailureDetail with the fields of the fault.
package status

// This file defines the conversion in both directions.

import (
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// FromFault returns err as a gRPC error that contains a FailureDetail. An error
// that is no fault is sent with the kind Internal.
func FromFault(err error) error {
	if err == nil {
		return nil
	}
	var f *fault.Fault
	if !errors.As(err, &f) {
		f = fault.Wrap(fault.Internal, "", err)
	}
	st, derr := status.New(codes.Aborted, f.Error()).WithDetails(&pb.FailureDetail{
		Kind:         f.Kind,
		Outcome:      f.Outcome(),
		Subject:      f.Subject,
		Advice:       f.Advice,
		RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
		RuleVersion:  f.RuleVersion,
	})
	if derr != nil {
		return status.Error(codes.Aborted, f.Error())
	}
	return st.Err()
}

// ToFault returns the fault that a gRPC error contains. ok is false for any other
// error, such as one of the transport, after which it is unknown whether the
// peer processed the request.
func ToFault(err error) (f *fault.Fault, ok bool) {
	st, is := status.FromError(err)
	if !is {
		return nil, false
	}
	for _, d := range st.Details() {
		if fd, is := d.(*pb.FailureDetail); is {
			return &fault.Fault{
				Kind:        fd.GetKind(),
				Subject:     fd.GetSubject(),
				Advice:      fd.GetAdvice(),
				RetryAfter:  time.Duration(fd.GetRetryAfterMs()) * time.Millisecond,
				RuleVersion: fd.GetRuleVersion(),
			}, true
		}
	}
	return nil, false
}
