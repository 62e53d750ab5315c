// Package platform simulates the platform: its list of backend servers, which
// shows changes late, and its rate-limited weight store.
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

// Platform is a simulated platform. Set the exported fields before it serves.
type Platform struct {
	Servers []*pb.ListedServer
	// Lag is the delay until a change appears in the list.
	Lag time.Duration
	// ReadsPerSecond is the rate limit of the weight store; values below 1 count
	// as 1.
	ReadsPerSecond float64

	mu      sync.Mutex
	changes []change
	limiter *rate.Limiter
}

// change is an operation on a backend server of the list.
type change struct {
	at     time.Time
	server string
	// action is leave, remove or return.
	action string
}

var _ camphorspokev1connect.PlatformServiceHandler = (*Platform)(nil)

// List returns the list as it was Lag ago.
func (p *Platform) List(context.Context, *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := make(map[string]string)
	for _, c := range p.changes {
		if time.Since(c.at) >= p.Lag {
			state[c.server] = c.action
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

// FetchWeights simulates a read from the weight store. It fails when the rate
// limit is exceeded.
func (p *Platform) FetchWeights(context.Context, *connect.Request[pb.FetchWeightsRequest]) (*connect.Response[pb.FetchWeightsResponse], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Limit(max(p.ReadsPerSecond, 1)), 1)
	}
	if !p.limiter.Allow() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("rate limit of the weight store exceeded"))
	}
	return connect.NewResponse(&pb.FetchWeightsResponse{}), nil
}

// ServeChange handles POST /change?name=NAME&what=leave|remove|return, which marks
// a backend server as leaving, removes it from the list or restores it.
func (p *Platform) ServeChange(w http.ResponseWriter, r *http.Request) {
	what := r.URL.Query().Get("what")
	if what != "leave" && what != "remove" && what != "return" {
		http.Error(w, "parameter what must be leave, remove or return", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, change{
		at:     time.Now(),
		server: r.URL.Query().Get("name"),
		action: what,
	})
}
