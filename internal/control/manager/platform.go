package manager

// This file defines how the platform's server list is copied to the ledger, how
// engine orders are sent, and how old claims and unresponsive instances are
// removed.

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
)

const (
	// listTimeout bounds one read of the platform's list, over all its pages.
	listTimeout = 5 * time.Second
	// goneAfterMissing is how long a server must be missing from the list before
	// it is marked gone, as the list lags and servers may briefly drop out of it.
	goneAfterMissing = 2 * time.Second
	// goneAfterPartial is how long if a part of the list can't be read, which may name the
	// server.
	goneAfterPartial = 30 * time.Second
	orderInterval    = 200 * time.Millisecond
	expireInterval   = time.Minute
	// DefaultOrdersPerSecond is the default rate limit for load orders, which
	// read from the weight store.
	DefaultOrdersPerSecond = 2
)

func (m *Manager) platformLoop(ctx context.Context) {
	pace := listPace{
		billed: m.cfg.WithoutOwnership,
	}
	var nextExpiry time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pace.interval(m.cfg.Replica.Now())):
		}
		if !m.Leads() {
			pace.changed(m.cfg.Replica.Now())
			continue
		}
		if m.syncServers(ctx) {
			pace.changed(m.cfg.Replica.Now())
		}
		if now := m.cfg.Replica.Now(); now >= nextExpiry {
			nextExpiry = now + expireInterval
			m.expireClaims(ctx)
			m.removeUnresponsiveInstance(ctx)
			m.removeGoneServers(ctx)
		}
	}
}

// syncServers reads the platform's list and commits its changes to the ledger. It
// reports whether more changes are likely soon: there were some now, or the list
// could not be read.
func (m *Manager) syncServers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	begun := m.cfg.Replica.Now()
	listed, err := m.cfg.Platform.List(ctx)
	partial := fault.KindOf(err) == fault.PartialList
	m.recordPartialList(partial)
	if err != nil && !partial {
		m.listFailed = true
		m.cfg.Logger.WithError(err).Warn("control: can't read the platform's server list")
		return true
	}
	if m.listFailed {
		m.listFailed = false
		m.cfg.Logger.Info("control: the platform's server list can be read again")
	}
	rows, missing, compared := m.listChanges(listed, partial)
	if len(rows) == 0 {
		if compared && !partial {
			m.recordListRead(begun)
		}
		return missing
	}
	for _, r := range rows {
		m.cfg.Logger.WithFields(logrus.Fields{
			"server":  r.GetName(),
			"service": r.GetService(),
			"address": r.GetAddress(),
			"leaving": r.GetLeaving(),
			"gone":    r.GetGone(),
			"coldMs":  r.GetColdMs(),
			"version": r.GetVersion(),
		}).Info("control: a backend server changed in the platform's list")
	}
	if m.proposeAndLog(ctx, &pb.Command{
		Kind: &pb.Command_UpdateServers{
			UpdateServers: &pb.UpdateServers{
				Servers: rows,
			},
		},
	}) && !partial {
		m.recordListRead(begun)
	}
	return true
}

// recordPartialList logs when a part of the list can't be read, and when all can be read
// again.
func (m *Manager) recordPartialList(partial bool) {
	if partial && !m.listPartial {
		m.cfg.Logger.Warn("control: a part of the platform's server list can't be read; the rest is used, and servers missing from it are kept for longer")
	}
	if !partial && m.listPartial {
		m.cfg.Logger.Info("control: no part of the platform's server list is missing any more")
	}
	m.listPartial = partial
}

// listChanges returns the new rows of the servers for which the list, or the part of it
// that could be read, differs from the ledger. It marks a server gone once it has been
// missing long enough, and reports whether any has been missing for less, and whether the list was
// compared: a leader that is not confirmed compares none.
func (m *Manager) listChanges(listed []*pb.ListedServer, partial bool) (rows []*pb.BackendServer, missing, compared bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.checkLeadership(now) {
		return nil, false, false
	}
	goneAfter := goneAfterMissing
	if partial {
		goneAfter = goneAfterPartial
	}
	inList := make(map[string]bool)
	for _, s := range listed {
		inList[s.GetName()] = true
		delete(m.missingSince, s.GetName())
		if row := m.updatedRow(now, m.cfg.Replica.Ledger.Server(s.GetName()), s); row != nil {
			rows = append(rows, row)
		}
	}
	for _, s := range m.cfg.Replica.Ledger.Changes(0).Servers {
		if s.GetGone() {
			delete(m.missingSince, s.GetName())
		}
		if s.GetGone() && !inList[s.GetName()] {
			delete(m.cold, s.GetName())
		}
		if inList[s.GetName()] || s.GetGone() {
			continue
		}
		missing = true
		since, ok := m.missingSince[s.GetName()]
		if !ok {
			m.missingSince[s.GetName()] = now
			continue
		}
		if now-since >= goneAfter {
			row := withoutOwner(s)
			row.Gone, row.GoneMs = true, time.Now().UnixMilli()
			rows = append(rows, row)
		}
	}
	return rows, missing, true
}

// updatedRow returns the new row for a listed server, or nil if nothing changed.
// A server that is new, was gone, or is ready again after it was leaving, gets the current time as its
// time of joining, and always a later one than before, also if its row was removed meanwhile: instances that
// have not read it in between recognise a new incarnation by it. The caller holds mu.
func (m *Manager) updatedRow(now time.Duration, old *pb.BackendServer, s *pb.ListedServer) *pb.BackendServer {
	joined := old.GetJoinedMs()
	if old == nil || old.GetGone() || old.GetLeaving() && !s.GetLeaving() {
		joined = max(time.Now().UnixMilli(), joined+1, m.cfg.Replica.Ledger.RemovedMs()+1)
	}
	row := &pb.BackendServer{
		Name:          s.GetName(),
		Service:       s.GetService(),
		Address:       s.GetAddress(),
		FailureDomain: s.GetFailureDomain(),
		Slots:         s.GetSlots(),
		CacheTokens:   s.GetCacheTokens(),
		Leaving:       s.GetLeaving(),
		JoinedMs:      joined,
		Version:       s.GetVersion(),

		VersionChangedMs: versionChangedMs(old, s),
	}
	coldChanges := m.copyCold(now, old, row, s)
	if old != nil && !coldChanges && !old.GetGone() && old.GetAddress() == s.GetAddress() && old.GetLeaving() == s.GetLeaving() &&
		old.GetSlots() == s.GetSlots() && old.GetCacheTokens() == s.GetCacheTokens() &&
		old.GetVersion() == s.GetVersion() && old.GetService() == s.GetService() && old.GetFailureDomain() == s.GetFailureDomain() {
		return nil
	}
	return row
}

// versionChangedMs returns when the version of a listed server was found, if its name had another one before.
func versionChangedMs(old *pb.BackendServer, s *pb.ListedServer) int64 {
	if old == nil || old.GetVersion() == s.GetVersion() {
		return old.GetVersionChangedMs()
	}
	return time.Now().UnixMilli()
}

// expireClaims deletes claims that are older than the longest retention in the
// rules by at least an hour.
func (m *Manager) expireClaims(ctx context.Context) {
	version, content := m.cfg.Replica.Ledger.Rules()
	if version == 0 {
		return
	}
	rules, err := parse.Rules("rules", content)
	if err != nil {
		return
	}
	var longest time.Duration
	for _, s := range rules.Services {
		longest = max(longest, s.Retention)
	}
	if longest == 0 {
		return
	}
	m.proposeAndLog(ctx, &pb.Command{
		Kind: &pb.Command_ExpireClaims{
			ExpireClaims: &pb.ExpireClaims{
				Before: time.Now().Add(-longest - time.Hour).Unix(),
			},
		},
	})
}

// removeUnresponsiveInstance removes from the list of routers at most one instance
// that has sent no heartbeat for removeAfter.
func (m *Manager) removeUnresponsiveInstance(ctx context.Context) {
	now := m.cfg.Replica.Now()
	m.mu.Lock()
	ready := m.checkLeadership(now) && m.leases.EarlierLeasesExpired(now-removeAfter)
	live := m.leases.Recent(now, removeAfter)
	m.mu.Unlock()
	if !ready || !m.cfg.WithoutOwnership && !m.routerListConfirmed() {
		return
	}
	liveNames := make(map[string]bool)
	for h := range live {
		liveNames[h.Instance] = true
	}
	for _, i := range m.cfg.Replica.Ledger.Routers() {
		if liveNames[i.GetName()] {
			continue
		}
		m.proposeAndLog(ctx, &pb.Command{
			Kind: &pb.Command_RegisterInstance{
				RegisterInstance: &pb.RegisterInstance{
					Instance: &pb.Instance{
						Name:        i.GetName(),
						Incarnation: i.GetIncarnation(),
						Gone:        true,
					},
				},
			},
		})
		return
	}
}

// proposeAndLog proposes c and only logs a failure: the loops that call it
// propose again what is still due.
func (m *Manager) proposeAndLog(ctx context.Context, c *pb.Command) (committed bool) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := m.cfg.Replica.Propose(ctx, c)
	if err != nil {
		m.cfg.Logger.WithError(err).Warn("control: proposing a command failed; it may still be committed")
	}
	return err == nil
}

// recordListRead records that all of the list was read, from a time on, and that the rows show it.
func (m *Manager) recordListRead(begun time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listReadAt, m.listReadTerm = begun, m.term
}

// listAge returns how long ago the last read of the whole list was begun by this leader in its term, in
// milliseconds, at least one; zero if there was none. The caller holds mu.
func (m *Manager) listAge(now time.Duration) uint32 {
	if m.listReadAt == 0 || m.listReadTerm != m.term {
		return 0
	}
	return uint32(max((now - m.listReadAt + time.Millisecond - 1).Milliseconds(), 1))
}

// orderLoop sends the open orders to their engines. A new leader sends them
// again, as engines execute an order with a given number only once. Orders are
// sent only while the leader lease is valid.
func (m *Manager) orderLoop(ctx context.Context) {
	perSecond := m.cfg.OrdersPerSecond
	if perSecond == 0 {
		perSecond = DefaultOrdersPerSecond
	}
	loadLimiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, o := range m.cfg.Replica.Ledger.OpenOrders() {
			if o.GetAction() == "load" && loadLimiter.Wait(ctx) != nil {
				return
			}
			if !m.sendOrder(ctx, o) {
				break
			}
		}
	}
}

// sendOrder sends o to its engine, and commits that it finished if the engine
// executed it, rejected it for good or is gone. It returns false if this replica
// can't send orders now.
func (m *Manager) sendOrder(ctx context.Context, o *pb.EngineOrder) bool {
	leaseLeft := m.cfg.Replica.Status().LeaseUntil - m.cfg.Replica.Now()
	s := m.cfg.Replica.Ledger.Server(o.GetBackendServer())
	if leaseLeft <= 0 || s == nil {
		return false
	}
	sendCtx, cancel := context.WithTimeout(ctx, leaseLeft)
	defer cancel()
	err := m.cfg.Engine.Order(sendCtx, s.GetAddress(), &pb.OrderRequest{
		FencingNumber: o.GetFencingNumber(),
		OrderId:       o.GetId(),
		Action:        o.GetAction(),
		Argument:      o.GetArgument(),
	})
	problem := ""
	if err != nil {
		if !s.GetGone() && !isPermanent(err) {
			m.cfg.Logger.WithError(err).Warnf("control: sending order %d failed; it will be sent again", o.GetId())
			return true
		}
		problem = err.Error()
	}
	m.proposeAndLog(ctx, &pb.Command{
		Kind: &pb.Command_FinishOrder{
			FinishOrder: &pb.FinishOrder{
				OrderId: o.GetId(),
				Problem: problem,
			},
		},
	})
	return true
}

// isPermanent reports whether err is a rejection by the engine that a retry can't
// change.
func isPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition, connect.CodeInvalidArgument:
		return true
	}
	return false
}
