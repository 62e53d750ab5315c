// Package peerserver serves this router to the others.
package peerserver

// This file defines Server.

import (
	"context"
	"errors"

	"google.golang.org/grpc"

	"camphorspoke/internal/daemon/finder"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/daemon/router"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// Server implements the PeerService.
type Server struct {
	pb.UnimplementedPeerServiceServer

	Router *router.Router
	Agent  *membership.Agent
	// Schedulers answers questions for places; it is nil where servers have owners.
	Schedulers *placer.Schedulers
	// Finder is nil where the control group is named in the settings.
	Finder *finder.Finder
}

var _ pb.PeerServiceServer = (*Server)(nil)

// ForwardGenerate serves a forwarded request. A refusal before any dispatch
// goes out as a message; a failure after one ends the stream.
func (s *Server) ForwardGenerate(r *pb.ForwardGenerateRequest, out grpc.ServerStreamingServer[pb.ForwardGenerateResponse]) error {
	err := s.Router.Forwarded(out.Context(), r, func(f *pb.GenerateResponse) error {
		return out.Send(&pb.ForwardGenerateResponse{
			Frame: f,
		})
	})
	loads := s.Router.LoadsOf(r.GetRequest().GetService())
	if err == nil {
		return out.Send(&pb.ForwardGenerateResponse{
			Loads: loads,
		})
	}
	var f *fault.Fault
	if errors.As(err, &f) && f.Outcome() == pb.Outcome_OUTCOME_NOT_RUN {
		return out.Send(&pb.ForwardGenerateResponse{
			Loads: loads,
			Refusal: &pb.Refusal{
				Kind:         f.Kind,
				Subject:      f.Subject,
				RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
			},
		})
	}
	return status.FromFault(err)
}

// ForwardCall serves a forwarded call.
func (s *Server) ForwardCall(ctx context.Context, r *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error) {
	resp, err := s.Router.ForwardedCall(ctx, r)
	return resp, status.FromFault(err)
}

// RuleVersion answers which rule version this router holds.
func (s *Server) RuleVersion(_ context.Context, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error) {
	return s.Agent.RuleVersion(r), nil
}

// Handover takes soft tables from a server's earlier owner.
func (s *Server) Handover(_ context.Context, r *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	if err := s.Router.Handover(r); err != nil {
		return nil, status.FromFault(err)
	}
	return &pb.HandoverResponse{}, nil
}

// Place serves questions for places.
func (s *Server) Place(stream grpc.BidiStreamingServer[pb.PlaceRequest, pb.PlaceResponse]) error {
	if s.Schedulers == nil {
		return status.FromFault(fault.New(fault.BadRequest, "place", "this instance's backend servers have owners"))
	}
	return s.Schedulers.Serve(stream)
}

// Acquaint takes and gives where the control group is.
func (s *Server) Acquaint(_ context.Context, r *pb.AcquaintRequest) (*pb.AcquaintResponse, error) {
	if s.Finder == nil {
		return &pb.AcquaintResponse{}, nil
	}
	s.Finder.Acquaint(r.GetControlAddresses(), r.GetLeader())
	return &pb.AcquaintResponse{
		ControlAddresses: s.Finder.Known(),
	}, nil
}
