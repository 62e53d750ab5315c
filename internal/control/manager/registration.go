package manager

// This file defines how instances are registered.

import (
	"context"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// registerLater commits the instance's registration in the background if it differs
// from the stored one. Without ownership no lease depends on it, so a heartbeat need
// not wait. A mere restart of the process changes nothing that other instances use;
// after a restart of all instances, their rows need not be sent to everyone again.
func (m *Manager) registerLater(req *pb.HeartbeatRequest) {
	old := m.cfg.Replica.Ledger.Instance(req.GetInstance())
	if old != nil && !old.GetGone() && sameListing(old, req) || old.GetIncarnation() > req.GetIncarnation() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registering[req.GetInstance()] {
		return
	}
	m.registering[req.GetInstance()] = true
	m.background.Go(func() {
		m.proposeAndLog(m.ctx, registration(req))
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.registering, req.GetInstance())
	})
}

// sameListing reports whether a stored row states the same to other instances as a
// registration would.
func sameListing(old *pb.Instance, req *pb.HeartbeatRequest) bool {
	return old.GetLeaving() == req.GetLeaving() && old.GetCallerAddress() == req.GetCallerAddress() &&
		old.GetPeerAddress() == req.GetPeerAddress() && old.GetFailureDomain() == req.GetFailureDomain() &&
		old.GetCpuMilli() == req.GetCpuMilli()
}

// registration returns the command that registers an instance.
func registration(req *pb.HeartbeatRequest) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_RegisterInstance{
			RegisterInstance: &pb.RegisterInstance{
				Instance: &pb.Instance{
					Name:          req.GetInstance(),
					Incarnation:   req.GetIncarnation(),
					CallerAddress: req.GetCallerAddress(),
					PeerAddress:   req.GetPeerAddress(),
					FailureDomain: req.GetFailureDomain(),
					Leaving:       req.GetLeaving(),
					CpuMilli:      req.GetCpuMilli(),
				},
			},
		},
	}
}

// register commits the instance's registration if it differs from the stored
// one. Once there are rules, the list of routers changes one step at a time: a
// new name is rejected until a majority of the listed routers has received the
// previous change. Majorities of any two lists that routers may hold then
// intersect.
func (m *Manager) register(ctx context.Context, req *pb.HeartbeatRequest) error {
	l := m.cfg.Replica.Ledger
	old := l.Instance(req.GetInstance())
	if old != nil && old.GetIncarnation() == req.GetIncarnation() && sameListing(old, req) && !old.GetGone() {
		return nil
	}
	if old != nil && old.GetIncarnation() > req.GetIncarnation() {
		return fault.New(fault.BadSetting, req.GetInstance(), "a newer process is registered under this instance name")
	}
	if old == nil || old.GetGone() {
		if version, _ := l.Rules(); version > 0 && !m.routerListConfirmed() {
			return fault.New(fault.NoQuorum, req.GetInstance(), "retry later: a majority of the listed routers has not yet received the last change of the router list")
		}
	}
	_, err := m.cfg.Replica.Propose(ctx, registration(req))
	return err
}
