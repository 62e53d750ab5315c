// Package caller serves the CallerService to callers over Connect.
package caller

// This file defines Handler.

import (
	"context"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/router"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// Handler implements the CallerService.
type Handler struct {
	Router *router.Router
}

var _ camphorspokev1connect.CallerServiceHandler = (*Handler)(nil)

// Lookup returns the addresses to use for a chat.
func (h *Handler) Lookup(ctx context.Context, r *connect.Request[pb.LookupRequest]) (*connect.Response[pb.LookupResponse], error) {
	resp, err := h.Router.Lookup(ctx, r.Msg)
	if err != nil {
		return nil, fault.Connect(err)
	}
	return connect.NewResponse(resp), nil
}

// Generate streams the response of a model engine.
func (h *Handler) Generate(ctx context.Context, r *connect.Request[pb.GenerateRequest], out *connect.ServerStream[pb.GenerateResponse]) error {
	return fault.Connect(h.Router.Generate(ctx, r.Msg, out.Send))
}

// Call runs a call of a plain service.
func (h *Handler) Call(ctx context.Context, r *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	resp, err := h.Router.Call(ctx, r.Msg)
	if err != nil {
		return nil, fault.Connect(err)
	}
	return connect.NewResponse(resp), nil
}
