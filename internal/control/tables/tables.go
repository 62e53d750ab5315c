// Package tables serves the rows of a replica's ledger, and large changes of its rules, to routers.
//
// Load pattern: all routers of a large fleet start at once and need the whole
// tables. Every replica can serve them, since the rows that it has applied are
// committed; what is missing up to the leader's index, a router gets from the leader.
// The whole tables are encoded and compressed once for all routers, and each
// replica limits the rate at which it sends rows, so that its link has room for
// heartbeats and the log, and transfers that have begun end soon.
package tables

// This file defines Source.

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/ledger"
	"camphorspoke/internal/control/rulechange"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// maxWholeAge is how long the encoded whole tables are served although rows have
	// changed since. While a fleet starts, rows change with every registration.
	maxWholeAge = 200 * time.Millisecond
	// linkShare is the share of the link's bandwidth that rows may take.
	linkShare = 0.6
	// bitsPerByte and megabit convert Mbit/s to bytes per second.
	bitsPerByte = 8
	megabit     = 1e6
	// burstBytes is how many bytes may be sent at once.
	burstBytes = 256 << 10
)

// Source serves the rows of one ledger. Ledger and Now must be set.
type Source struct {
	Ledger *ledger.Ledger
	// Now returns the time of a monotonic clock.
	Now func() time.Duration
	// LinkMbps is the bandwidth of the replica's link in Mbit/s; zero means that the
	// rate is not limited.
	LinkMbps float64

	ruleChanges rulechange.Encoder

	mu      sync.Mutex
	limiter *rate.Limiter
	// whole holds the encoded whole tables as of wholeAt.
	whole   *pb.TablesResponse
	wholeAt time.Duration
}

// Read returns the rows and the rules that a router lacks. Rows since log index zero are the whole
// tables, which may be maxWholeAge old. It waits until the rate limit allows the response, and fails
// with NoQuorum if ctx ends before.
func (s *Source) Read(ctx context.Context, req *pb.TablesRequest) (*pb.TablesResponse, error) {
	rows, limiter, err := s.encoded(req.GetSeenIndex())
	if err != nil {
		return nil, err
	}
	resp := &pb.TablesResponse{
		Index: rows.GetIndex(),
		Rows:  rows.GetRows(),
	}
	if resp.RuleVersion, resp.RuleChange, err = s.ruleChanges.Change(s.Ledger, req.GetRuleVersion()); err != nil {
		return nil, err
	}
	if limiter == nil {
		return resp, nil
	}
	if err := limiter.WaitN(ctx, min(len(resp.GetRows())+len(resp.GetRuleChange()), burstBytes)); err != nil {
		return nil, fault.Wrap(fault.NoQuorum, "tables", err)
	}
	return resp, nil
}

// encoded returns the response to a request and the limiter of the rate, nil if it is
// not limited.
func (s *Source) encoded(since uint64) (*pb.TablesResponse, *rate.Limiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil && s.LinkMbps > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(linkShare*s.LinkMbps*megabit/bitsPerByte), burstBytes)
	}
	now := s.Now()
	if since == 0 && s.whole != nil && now-s.wholeAt < maxWholeAge {
		return s.whole, s.limiter, nil
	}
	changes := s.Ledger.Changes(since)
	encoded, err := proto.Marshal(&pb.TableRows{
		Servers:   changes.Servers,
		Instances: changes.Instances,
		Whole:     changes.Whole,

		Quarantines:  changes.Quarantines,
		Evacuations:  changes.Evacuations,
		RemovedIndex: changes.RemovedIndex,
	})
	if err != nil {
		return nil, nil, fault.Wrap(fault.Internal, "tables", err)
	}
	resp := &pb.TablesResponse{
		Index: changes.Index,
		Rows:  compress.Codec{}.Compress(encoded),
	}
	if changes.Whole {
		s.whole, s.wholeAt = resp, now
	}
	return resp, s.limiter, nil
}
