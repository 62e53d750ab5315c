// Package peerserver serves the PeerService of this instance to other instances
// over gRPC.
package peerserver

// This file defines Server.

import (
	"context"
	"encoding/json"
	"errors"

	"google.golang.org/grpc"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/discovery"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/daemon/router"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Server implements the PeerService.
type Server struct {
	pb.UnimplementedPeerServiceServer

	Router *router.Router
	Agent  *membership.Agent
	// Schedulers serves placement requests; it is nil if backend servers have
	// owners.
	Schedulers *placer.Schedulers
	// Finder discovers the control group; it is nil if the settings list the
	// group's addresses.
	Finder *discovery.Finder
}

var _ pb.PeerServiceServer = (*Server)(nil)

// ForwardGenerate serves a forwarded request. A rejection, after which the
// request has certainly not run, is sent as a message; any other failure ends
// the stream with an error.
func (s *Server) ForwardGenerate(r *pb.ForwardGenerateRequest, out grpc.ServerStreamingServer[pb.ForwardGenerateResponse]) error {
	err := s.Router.ServeForwarded(out.Context(), r, func(f *pb.GenerateResponse) error {
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
	resp, err := s.Router.ServeForwardedCall(ctx, r)
	return resp, status.FromFault(err)
}

// RuleVersion returns the rule version that this router holds.
func (s *Server) RuleVersion(_ context.Context, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error) {
	return s.Agent.RuleVersion(r), nil
}

// Handover receives a backend server's soft state from its previous owner.
func (s *Server) Handover(_ context.Context, r *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	if err := s.Router.ReceiveHandover(r); err != nil {
		return nil, status.FromFault(err)
	}
	return &pb.HandoverResponse{}, nil
}

// ExplainPlacement returns what this instance would decide on a request now.
func (s *Server) ExplainPlacement(_ context.Context, r *pb.ExplainPlacementRequest) (*pb.ExplainPlacementResponse, error) {
	if s.Schedulers == nil {
		return nil, status.FromFault(fault.New(fault.BadRequest, "explain", "this instance does not schedule requests; its backend servers have owners"))
	}
	b, err := json.Marshal(s.Schedulers.ExplainAsk(r.GetAsk()))
	if err != nil {
		return nil, status.FromFault(fault.Wrap(fault.Internal, "explain", err))
	}
	return &pb.ExplainPlacementResponse{
		Json: b,
	}, nil
}

// StreamVersion returns which version of a server's software began a stream.
func (s *Server) StreamVersion(_ context.Context, r *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
	if s.Schedulers == nil {
		return &pb.StreamVersionResponse{}, nil
	}
	record, known := s.Schedulers.StreamRecord(r.GetService(), r.GetStream())
	return &pb.StreamVersionResponse{
		Known:   known,
		Version: record.Version,
		Begun:   record.Begun,
	}, nil
}

// Place serves a stream of placement requests.
func (s *Server) Place(stream grpc.BidiStreamingServer[pb.PlaceRequest, pb.PlaceResponse]) error {
	if s.Schedulers == nil {
		return status.FromFault(fault.New(fault.BadRequest, "place", "this instance does not schedule requests; its backend servers have owners"))
	}
	return s.Schedulers.Serve(stream)
}

// Acquaint records the control group addresses and leader that another instance
// sent, and returns the control group addresses that this instance has.
func (s *Server) Acquaint(_ context.Context, r *pb.AcquaintRequest) (*pb.AcquaintResponse, error) {
	if s.Finder == nil {
		return &pb.AcquaintResponse{}, nil
	}
	s.Finder.ReceiveAddresses(r.GetControlAddresses(), r.GetLeader())
	return &pb.AcquaintResponse{
		ControlAddresses: s.Finder.ControlAddresses(),
	}, nil
}
