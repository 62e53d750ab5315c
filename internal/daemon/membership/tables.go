package membership

// This file defines how a router reads table rows and rules from a replica, when more have
// changed than a heartbeat answer carries.

import (
	"context"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

const (
	// maxTableBytes limits the size of decompressed table rows.
	maxTableBytes = 64 << 20
	// tablesTimeout limits one read of the tables, over all replicas that are tried.
	tablesTimeout = 10 * time.Second
	// startRetryInterval is the time until the second attempt to read the tables at a
	// start; it doubles with each attempt, up to maxStartRetryInterval.
	startRetryInterval    = 100 * time.Millisecond
	maxStartRetryInterval = 400 * time.Millisecond
)

// requestTables makes the table loop read the tables, unless it is already due to.
func (a *Agent) requestTables() {
	select {
	case a.readTables <- struct{}{}:
	default:
	}
}

// tableLoop reads the tables when a heartbeat answer was without rows. It is apart
// from the heartbeats, so that a slow transfer delays no confirmation of the rules
// and is not cut off by their timeout. An entry instance also reads the tables once it
// starts, while it still looks for the leader: after a loss of all instances the
// replicas have rows before they have a leader.
func (a *Agent) tableLoop(ctx context.Context) {
	for pause := startRetryInterval; a.cfg.LeaderOnly && a.View().Index == 0; pause = min(2*pause, maxStartRetryInterval) {
		if a.fetchTables(ctx) == nil {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.readTables:
		}
		if err := a.fetchTables(ctx); err != nil && ctx.Err() == nil {
			a.cfg.Logger.WithError(err).Warn("member: reading the tables from a replica failed; the next heartbeat requests them again")
		}
	}
}

// fetchTables reads the rows that have changed and applies them to the view. The
// next heartbeat is sent at once, as the replica may have been behind the leader.
func (a *Agent) fetchTables(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tablesTimeout)
	defer cancel()
	resp, err := a.cfg.Control.Tables(ctx, a.tablesRequest())
	if err != nil {
		return err
	}
	rows := &pb.TableRows{}
	if err := decodeCompressed(resp.GetRows(), maxTableBytes, "table rows", rows); err != nil {
		return err
	}
	before := a.View()
	next := a.changeView(func() (old, next *view.View) { return a.applyTables(resp, rows) })
	if next != before {
		a.HeartbeatNow()
	}
	return nil
}

// tablesRequest returns the request for what this router lacks. Rule version zero requests the
// complete rule file.
func (a *Agent) tablesRequest() *pb.TablesRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.View()
	r := &pb.TablesRequest{
		SeenIndex:   v.Index,
		RuleVersion: v.RuleVersion,
	}
	if a.needFullRules {
		r.RuleVersion = 0
	}
	return r
}

// applyTables applies the rows and the rules of a response to the view, and returns the view before and
// after. Rules take effect at once; they are confirmed by the next heartbeat answer.
func (a *Agent) applyTables(resp *pb.TablesResponse, rows *pb.TableRows) (old, next *view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old = a.view.Load()
	next = withRows(old, resp.GetIndex(), rows)
	if len(resp.GetRuleChange()) > 0 {
		next, _ = a.applyRuleChange(next, resp.GetRuleVersion(), resp.GetRuleChange())
	}
	a.view.Store(next)
	return old, next
}

// withRows returns v with the given rows, which are complete up to index; v itself if
// it is as recent. Rows that arrive late must not replace newer ones.
func withRows(v *view.View, index uint64, rows *pb.TableRows) *view.View {
	if index <= v.Index {
		return v
	}
	if rows.GetRemovedIndex() > v.RemovedIndex {
		v = v.WithoutGone(rows.GetRemovedIndex())
	}
	next := v.WithIndex(index)
	if rows.GetWhole() || len(rows.GetServers()) > 0 || len(rows.GetInstances()) > 0 {
		next = v.WithTables(index, rows.GetWhole(), rows.GetServers(), rows.GetInstances())
	}
	if rows.GetWhole() || len(rows.GetQuarantines()) > 0 {
		next = next.WithQuarantines(rows.GetWhole(), rows.GetQuarantines())
	}
	if rows.GetWhole() || len(rows.GetEvacuations()) > 0 {
		next = next.WithEvacuations(rows.GetWhole(), rows.GetEvacuations())
	}
	return next
}
