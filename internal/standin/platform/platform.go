// Package platform is a stand-in for the platform: its lagging list of backend
// servers and its rate-limited weight store.
package platform

// This file defines Platform.

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// Platform is a stand-in platform. Set the fields before it serves.
type Platform struct {
	Servers []*pb.ListedServer
	// Lag is how much later a change shows in the list.
	Lag time.Duration
	// ReadsPerSecond limits the weight store; zero is 1.
	ReadsPerSecond float64

	mu      sync.Mutex
	changes []change
	limiter *rate.Limiter
}

type change struct {
	at   time.Time
	name string
	// what is leave, remove or return.
	what string
}

var _ camphorspokev1connect.PlatformServiceHandler = (*Platform)(nil)

// List returns the list as of Lag ago.
func (p *Platform) List(context.Context, *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := make(map[string]string)
	for _, c := range p.changes {
		if time.Since(c.at) >= p.Lag {
			state[c.name] = c.what
		}
	}
	resp := &pb.ListResponse{}
	for _, s := range p.Servers {
		if state[s.GetName()] == "remove" {
			continue
		}
		row := proto.Clone(s).(*pb.ListedServer)
		row.Leaving = state[s.GetName()] == "leave"
		resp.Servers = append(resp.Servers, row)
	}
	return connect.NewResponse(resp), nil
}

// FetchWeights reads from the weight store, within its rate limit.
func (p *Platform) FetchWeights(context.Context, *connect.Request[pb.FetchWeightsRequest]) (*connect.Response[pb.FetchWeightsResponse], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Limit(max(p.ReadsPerSecond, 1)), 1)
	}
	if !p.limiter.Allow() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the weight store is read too fast"))
	}
	return connect.NewResponse(&pb.FetchWeightsResponse{}), nil
}

// ServeChange takes POST /change?name=NAME&what=leave|remove|return.
func (p *Platform) ServeChange(w http.ResponseWriter, r *http.Request) {
	what := r.URL.Query().Get("what")
	if what != "leave" && what != "remove" && what != "return" {
		http.Error(w, "use what=leave, remove or return", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, change{
		at:   time.Now(),
		name: r.URL.Query().Get("name"),
		what: what,
	})
}
