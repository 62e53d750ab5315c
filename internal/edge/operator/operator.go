// Package operator serves the OperatorService to operators over Connect. Any
// daemon accepts the requests and forwards them to the leader of the control
// group.
package operator

// This file defines Handler.

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/rules/parse"
)

// Handler implements the OperatorService.
type Handler struct {
	Control control.Client
	// DumpState returns the state of this process, to be encoded as JSON.
	DumpState func() any
	// ExplainRequest returns what would be decided on a request, to be encoded as JSON; it is nil
	// on an instance that is no entry instance.
	ExplainRequest func(ctx context.Context, r *pb.ExplainRequest) (any, error)
}

var _ camphorspokev1connect.OperatorServiceHandler = (*Handler)(nil)

// ApplyRules validates an edit of the rule file and applies it.
func (h *Handler) ApplyRules(ctx context.Context, r *connect.Request[pb.ApplyRulesRequest]) (*connect.Response[pb.ApplyRulesResponse], error) {
	if _, err := parse.Rules("rules", r.Msg.GetContent()); err != nil {
		return nil, fault.Connect(&fault.Fault{
			Kind:   fault.BadRules,
			Advice: err.Error(),
		})
	}
	resp, err := h.Control.ApplyRules(ctx, r.Msg)
	return respond(resp, err)
}

// ShowRules returns the rule file in force.
func (h *Handler) ShowRules(ctx context.Context, _ *connect.Request[pb.ShowRulesRequest]) (*connect.Response[pb.ShowRulesResponse], error) {
	q, err := h.Control.Query(ctx, &pb.QueryRequest{
		Rules: true,
	})
	return respond(&pb.ShowRulesResponse{
		Version: q.GetRuleVersion(),
		Content: q.GetRules(),
	}, err)
}

// respond returns the response m, or err as a Connect error.
func respond[T any](m *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, fault.Connect(err)
	}
	return connect.NewResponse(m), nil
}

// propose commits a command. If the command was rejected, it returns a fault with
// the given advice.
func (h *Handler) propose(ctx context.Context, c *pb.Command, advice string) (*pb.Result, error) {
	r, err := h.Control.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if r.GetFailure() != "" {
		return nil, fault.New(r.GetFailure(), r.GetSubject(), advice)
	}
	return r, nil
}

// requireReason returns a fault if an operator gave no reason.
func requireReason(reason string) error {
	if reason == "" {
		return fault.New(fault.BadRequest, "reason", "give a reason; it is recorded with the change")
	}
	return nil
}

// Drain starts or ends the drain of a backend server.
func (h *Handler) Drain(ctx context.Context, r *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	if err := requireReason(r.Msg.GetReason()); err != nil {
		return nil, fault.Connect(err)
	}
	_, err := h.propose(ctx, &pb.Command{
		Kind: &pb.Command_DrainServer{
			DrainServer: &pb.DrainServer{
				BackendServer: r.Msg.GetBackendServer(),
				Drain:         r.Msg.GetDrain(),
				Reason:        r.Msg.GetReason(),
			},
		},
	}, "use the name of a backend server that camphor status lists")
	return respond(&pb.DrainResponse{}, err)
}

// Evacuate starts or ends the evacuation of a failure domain.
func (h *Handler) Evacuate(ctx context.Context, r *connect.Request[pb.EvacuateRequest]) (*connect.Response[pb.EvacuateResponse], error) {
	if err := requireReason(r.Msg.GetReason()); err != nil {
		return nil, fault.Connect(err)
	}
	_, err := h.propose(ctx, &pb.Command{
		Kind: &pb.Command_Evacuation{
			Evacuation: &pb.Evacuation{
				FailureDomain: r.Msg.GetFailureDomain(),
				Active:        r.Msg.GetActive(),
				Reason:        r.Msg.GetReason(),
			},
		},
	}, "use a failure domain that camphor status lists")
	return respond(&pb.EvacuateResponse{}, err)
}

// Release ends a quarantine of parts of prompts.
func (h *Handler) Release(ctx context.Context, r *connect.Request[pb.ReleaseRequest]) (*connect.Response[pb.ReleaseResponse], error) {
	if err := requireReason(r.Msg.GetReason()); err != nil {
		return nil, fault.Connect(err)
	}
	_, err := h.propose(ctx, &pb.Command{
		Kind: &pb.Command_Quarantine{
			Quarantine: &pb.Quarantine{
				Service:  r.Msg.GetService(),
				Id:       r.Msg.GetQuarantine(),
				Released: true,
				Source:   r.Msg.GetReason(),
			},
		},
	}, "use a service and an ID that camphor quarantines lists")
	return respond(&pb.ReleaseResponse{}, err)
}

// OrderEngine places an order for a model engine.
func (h *Handler) OrderEngine(ctx context.Context, r *connect.Request[pb.OrderEngineRequest]) (*connect.Response[pb.OrderEngineResponse], error) {
	switch r.Msg.GetAction() {
	case "load", "adapter", "version", "role":
	default:
		return nil, fault.Connect(fault.New(fault.BadRequest, r.Msg.GetAction(), "use load, adapter, version or role"))
	}
	if err := requireReason(r.Msg.GetReason()); err != nil {
		return nil, fault.Connect(err)
	}
	res, err := h.propose(ctx, &pb.Command{
		Kind: &pb.Command_PlaceOrder{
			PlaceOrder: &pb.PlaceOrder{
				BackendServer: r.Msg.GetBackendServer(),
				Action:        r.Msg.GetAction(),
				Argument:      r.Msg.GetArgument(),
				Reason:        r.Msg.GetReason(),
			},
		},
	}, "use the name of a backend server that camphor status lists")
	return respond(&pb.OrderEngineResponse{
		OrderId:       res.GetOrderId(),
		FencingNumber: res.GetFencingNumber(),
	}, err)
}

// ListClaims lists claims on request keys.
func (h *Handler) ListClaims(ctx context.Context, r *connect.Request[pb.ListClaimsRequest]) (*connect.Response[pb.ListClaimsResponse], error) {
	q, err := h.Control.Query(ctx, &pb.QueryRequest{
		Claims:    true,
		AllClaims: r.Msg.GetAll(),
	})
	return respond(&pb.ListClaimsResponse{
		Claims: q.GetClaims(),
	}, err)
}

// SettleClaim records an operator's decision on the outcome of a claim.
func (h *Handler) SettleClaim(ctx context.Context, r *connect.Request[pb.SettleClaimRequest]) (*connect.Response[pb.SettleClaimResponse], error) {
	if err := requireReason(r.Msg.GetReason()); err != nil {
		return nil, fault.Connect(err)
	}
	if r.Msg.GetOutcome() == pb.Outcome_OUTCOME_UNSPECIFIED {
		return nil, fault.Connect(fault.New(fault.BadRequest, "outcome", "use done, notRun or inDoubt"))
	}
	_, err := h.propose(ctx, &pb.Command{
		Kind: &pb.Command_SettleKey{
			SettleKey: &pb.SettleKey{
				ClientAccount: r.Msg.GetClientAccount(),
				Service:       r.Msg.GetService(),
				Key:           r.Msg.GetKey(),
				Outcome:       r.Msg.GetOutcome(),
				Reason:        r.Msg.GetReason(),
				Operator:      true,
			},
		},
	}, "the key has no claim, or the claim is already settled, or only its holder may settle it as notRun, because the holder may still dispatch the call; see camphor claims -all")
	return respond(&pb.SettleClaimResponse{}, err)
}

// ChangeReplica adds a member to the control group or removes one.
func (h *Handler) ChangeReplica(ctx context.Context, r *connect.Request[pb.ChangeReplicaRequest]) (*connect.Response[pb.ChangeReplicaResponse], error) {
	return respond(&pb.ChangeReplicaResponse{}, h.Control.ChangeReplica(ctx, r.Msg))
}

// Dump returns the state of this process as JSON.
func (h *Handler) Dump(context.Context, *connect.Request[pb.DumpRequest]) (*connect.Response[pb.DumpResponse], error) {
	b, err := json.MarshalIndent(h.DumpState(), "", "  ")
	if err != nil {
		return nil, fault.Connect(fault.Wrap(fault.Internal, "dump", err))
	}
	return connect.NewResponse(&pb.DumpResponse{
		Json: b,
	}), nil
}

// Explain returns what would be decided on a request now, as JSON.
func (h *Handler) Explain(ctx context.Context, r *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	if h.ExplainRequest == nil {
		return nil, fault.Connect(fault.New(fault.BadRequest, "explain", "ask an entry instance; this one takes no requests of the users' platform"))
	}
	explanation, err := h.ExplainRequest(ctx, r.Msg)
	if err != nil {
		return nil, fault.Connect(err)
	}
	b, err := json.MarshalIndent(explanation, "", "  ")
	if err != nil {
		return nil, fault.Connect(fault.Wrap(fault.Internal, "explain", err))
	}
	return connect.NewResponse(&pb.ExplainResponse{
		Json: b,
	}), nil
}
