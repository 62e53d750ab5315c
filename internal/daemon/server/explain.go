package server

// This file defines how an entry instance explains what would be decided on a request.

import (
	"context"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// explainer returns the function that explains requests, nil if this is no entry instance.
func (in *instance) explainer() func(context.Context, *pb.ExplainRequest) (any, error) {
	if in.entry == nil {
		return nil
	}
	return in.entry.explain
}

// explain returns what would be decided on a request now.
func (e *entry) explain(ctx context.Context, r *pb.ExplainRequest) (any, error) {
	h := e.readyHandler.Load()
	if h == nil {
		return nil, fault.New(fault.RulesStale, "explain", "the instance is still starting")
	}
	req := edge.Request{
		ID:      r.GetId(),
		APIKey:  r.GetKey(),
		Timeout: time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		Prompt: edge.Prompt{
			MaxOutputTokens: int(r.GetOutputTokens()),
		},
	}
	for i, id := range r.GetParts() {
		part := edge.Part{
			ID: id,
		}
		if i < len(r.GetPartTokens()) {
			part.Tokens = int(r.GetPartTokens()[i])
		}
		req.Prompt.Tokens += part.Tokens
		req.Prompt.Parts = append(req.Prompt.Parts, part)
	}
	return h.Explain(ctx, r.GetHost(), r.GetPath(), r.GetAccount(), req)
}
