package manager

// This file defines how the leader removes the rows of servers that are gone.

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/control/goneservers"
	"camphorspoke/internal/control/lease"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
)

// streamMargin is added to the longest timeout of a stream, and retentionFactor times the sum is for how long
// an instance may remember a stream (internal/routing/streamversion).
const (
	streamMargin    = 5 * time.Second
	retentionFactor = 2
)

// removeGoneServers commits the next removal of rows, unless an instance of an older build runs.
func (m *Manager) removeGoneServers(ctx context.Context) {
	l := m.cfg.Replica.Ledger
	gone := l.GoneServers()
	if len(gone) == 0 {
		return
	}
	stream, ok := m.streamRetention()
	if !ok {
		return
	}
	r, blocked := m.decideRemoval(func(now time.Duration, t *goneservers.Tracker) goneservers.Removal {
		return t.Decide(now, time.Now(), gone, stream)
	})
	m.recordRemovalBlocked(blocked)
	if r.Rows == 0 || blocked != "" {
		return
	}
	if !m.proposeAndLog(ctx, &pb.Command{
		Kind: &pb.Command_RemoveServers{
			RemoveServers: &pb.RemoveServers{
				ThroughIndex:        r.Through,
				DrainedThroughIndex: r.DrainedThrough,
			},
		},
	}) {
		return
	}
	m.cfg.Logger.WithFields(logrus.Fields{
		"removed":      r.Rows,
		"throughIndex": r.Through,
		"left":         len(gone) - r.Rows,
	}).Info("control: the rows of backend servers that are gone were removed")
}

// decideRemoval calls decide if this replica leads, and returns the instances that block a removal.
func (m *Manager) decideRemoval(decide func(time.Duration, *goneservers.Tracker) goneservers.Removal) (r goneservers.Removal, blocked string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.checkLeadership(now) {
		return goneservers.Removal{}, ""
	}
	r = decide(now, &m.gone)
	if r.Rows > 0 {
		blocked = strings.Join(m.keepingInstances(now), ",")
	}
	return r, blocked
}

// keepingInstances returns the instances, in order, that do not apply removals, or may not. These are the members
// of the control group that have sent no heartbeat lately, and all instances whose last one does not say that they
// do: they run an older build, and may become members. The caller holds mu.
func (m *Manager) keepingInstances(now time.Duration) []string {
	removing := make(map[string]bool)
	var out []string
	m.leases.EachRecent(now, maxHeartbeatAge, func(h lease.Holder, row *lease.Row) {
		removing[h.Instance] = row.RemovesServers
		if !row.RemovesServers {
			out = append(out, h.Instance)
		}
	})
	for _, member := range m.cfg.Replica.Status().Members {
		if !removing[member.GetName()] {
			out = append(out, member.GetName())
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// recordRemovalBlocked logs which instances keep rows from being removed, when they change.
func (m *Manager) recordRemovalBlocked(instances string) {
	if instances != "" && instances != m.removalBlocked {
		m.cfg.Logger.WithField("instances", instances).
			Info("control: the rows of backend servers that are gone are kept, as instances run an older build, or members of the control group send no heartbeats")
	}
	m.removalBlocked = instances
}

// streamRetention returns for how long instances may remember a stream by the present rules, or false if these
// can't be read.
func (m *Manager) streamRetention() (time.Duration, bool) {
	version, content := m.cfg.Replica.Ledger.Rules()
	if version == 0 {
		return 0, true
	}
	rules, err := parse.Rules("rules", content)
	if err != nil {
		m.cfg.Logger.WithError(err).Warn("control: the rows of backend servers that are gone are kept, as the rules can't be read")
		return 0, false
	}
	return retentionFactor * (rules.LongestResumable() + streamMargin), true
}
