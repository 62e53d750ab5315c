package manager

// This file defines how the platform's list becomes rows of the ledger, how
// engine orders are carried out, and how old claims and instances are dropped.

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
)

const (
	listInterval = 300 * time.Millisecond
	// pricedInterval is the same where each reading is paid for.
	pricedInterval = 500 * time.Millisecond
	// missingFor is how long a server must be missing before it counts as
	// gone: the list lags and flaps.
	missingFor    = 2 * time.Second
	orderInterval = 200 * time.Millisecond
	expireEvery   = time.Minute
	// DefaultOrdersPerSecond paces orders that read the weight store.
	DefaultOrdersPerSecond = 2
)

func (m *Manager) platformLoop(ctx context.Context) {
	every := listInterval
	if m.cfg.Direct {
		every = pricedInterval
	}
	t := time.NewTicker(every)
	defer t.Stop()
	var nextExpiry time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !m.Leads() {
			continue
		}
		m.followList(ctx)
		if now := m.cfg.Replica.Now(); now >= nextExpiry {
			nextExpiry = now + expireEvery
			m.expireClaims(ctx)
			m.dropSilent(ctx)
		}
	}
}

func (m *Manager) followList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	listed, err := m.cfg.Platform.List(ctx)
	if err != nil {
		m.listLost = true
		m.cfg.Logger.WithError(err).Warn("control: the platform's list can't be read")
		return
	}
	if m.listLost {
		m.listLost = false
		m.cfg.Logger.Info("control: the platform's list is read again")
	}
	rows := m.listChanges(listed)
	if len(rows) == 0 {
		return
	}
	for _, r := range rows {
		m.cfg.Logger.WithFields(logrus.Fields{
			"server":  r.GetName(),
			"service": r.GetService(),
			"address": r.GetAddress(),
			"leaving": r.GetLeaving(),
			"gone":    r.GetGone(),
		}).Info("control: the list names a change")
	}
	if _, err := m.cfg.Replica.Propose(ctx, &pb.Command{
		Kind: &pb.Command_UpdateServers{
			UpdateServers: &pb.UpdateServers{
				Servers: rows,
			},
		},
	}); err != nil {
		m.cfg.Logger.WithError(err).Warn("control: a change of the list has no answer")
	}
}

// listChanges returns the rows in which the list differs from the ledger.
func (m *Manager) listChanges(listed []*pb.ListedServer) []*pb.BackendServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.leads(now) {
		return nil
	}
	var rows []*pb.BackendServer
	inList := make(map[string]bool)
	for _, s := range listed {
		inList[s.GetName()] = true
		delete(m.missing, s.GetName())
		if row := listedRow(m.cfg.Replica.Ledger.Server(s.GetName()), s); row != nil {
			rows = append(rows, row)
		}
	}
	for _, s := range m.cfg.Replica.Ledger.Changes(0).Servers {
		if inList[s.GetName()] || s.GetGone() {
			continue
		}
		since, ok := m.missing[s.GetName()]
		if !ok {
			m.missing[s.GetName()] = now
			continue
		}
		if now-since >= missingFor {
			row := withoutOwner(s)
			row.Gone = true
			rows = append(rows, row)
		}
	}
	return rows
}

// listedRow returns the new row for a listed server, or nil when it is as old.
func listedRow(old *pb.BackendServer, s *pb.ListedServer) *pb.BackendServer {
	joined := old.GetJoinedMs()
	if old == nil || old.GetGone() {
		joined = time.Now().UnixMilli()
	}
	if old != nil && !old.GetGone() && old.GetAddress() == s.GetAddress() && old.GetLeaving() == s.GetLeaving() &&
		old.GetSlots() == s.GetSlots() && old.GetCacheTokens() == s.GetCacheTokens() &&
		old.GetService() == s.GetService() && old.GetFailureDomain() == s.GetFailureDomain() {
		return nil
	}
	return &pb.BackendServer{
		Name:          s.GetName(),
		Service:       s.GetService(),
		Address:       s.GetAddress(),
		FailureDomain: s.GetFailureDomain(),
		Slots:         s.GetSlots(),
		CacheTokens:   s.GetCacheTokens(),
		Leaving:       s.GetLeaving(),
		JoinedMs:      joined,
	}
}

// expireClaims forgets claims older than the longest retention in the rules.
func (m *Manager) expireClaims(ctx context.Context) {
	version, content := m.cfg.Replica.Ledger.Rules()
	if version == 0 {
		return
	}
	f, err := parse.Rules("rules", content)
	if err != nil {
		return
	}
	var longest time.Duration
	for _, s := range f.Services {
		longest = max(longest, s.Retention)
	}
	if longest == 0 {
		return
	}
	m.proposeQuietly(ctx, &pb.Command{
		Kind: &pb.Command_ExpireClaims{
			ExpireClaims: &pb.ExpireClaims{
				Before: time.Now().Add(-longest - time.Hour).Unix(),
			},
		},
	})
}

// dropSilent takes at most one instance, long silent, off the list.
func (m *Manager) dropSilent(ctx context.Context) {
	now := m.cfg.Replica.Now()
	m.mu.Lock()
	ready := m.leads(now) && m.leases.Settled(now-goneAfter)
	alive := m.leases.Heard(now, goneAfter)
	m.mu.Unlock()
	if !ready || !m.cfg.Direct && !m.listSeen() {
		return
	}
	heard := make(map[string]bool)
	for h := range alive {
		heard[h.Instance] = true
	}
	for _, i := range m.cfg.Replica.Ledger.Routers() {
		if heard[i.GetName()] {
			continue
		}
		m.proposeQuietly(ctx, &pb.Command{
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

func (m *Manager) proposeQuietly(ctx context.Context, c *pb.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	if _, err := m.cfg.Replica.Propose(ctx, c); err != nil {
		m.cfg.Logger.WithError(err).Warn("control: a change has no answer")
	}
}

// orderLoop sends the open orders. A new leader sends them again: engines take
// an order by its number once. Orders leave only inside the leader lease.
func (m *Manager) orderLoop(ctx context.Context) {
	perSecond := m.cfg.OrdersPerSecond
	if perSecond == 0 {
		perSecond = DefaultOrdersPerSecond
	}
	pace := rate.NewLimiter(rate.Limit(perSecond), 1)
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, o := range m.cfg.Replica.Ledger.OpenOrders() {
			if o.GetAction() == "load" && pace.Wait(ctx) != nil {
				return
			}
			if !m.sendOrder(ctx, o) {
				break
			}
		}
	}
}

func (m *Manager) sendOrder(ctx context.Context, o *pb.EngineOrder) bool {
	left := m.cfg.Replica.Status().LeaseUntil - m.cfg.Replica.Now()
	s := m.cfg.Replica.Ledger.Server(o.GetBackendServer())
	if left <= 0 || s == nil {
		return false
	}
	sendCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := m.cfg.Engine.Order(sendCtx, s.GetAddress(), &pb.OrderRequest{
		FencingNumber: o.GetFencingNumber(),
		OrderId:       o.GetId(),
		Action:        o.GetAction(),
		Argument:      o.GetArgument(),
	})
	problem := ""
	if err != nil {
		if !s.GetGone() && !refusedForGood(err) {
			m.cfg.Logger.WithError(err).Warnf("control: order %d is not through", o.GetId())
			return true
		}
		problem = err.Error()
	}
	m.proposeQuietly(ctx, &pb.Command{
		Kind: &pb.Command_FinishOrder{
			FinishOrder: &pb.FinishOrder{
				OrderId: o.GetId(),
				Problem: problem,
			},
		},
	})
	return true
}

// refusedForGood reports whether the engine has answered that it will not.
func refusedForGood(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition, connect.CodeInvalidArgument:
		return true
	}
	return false
}
