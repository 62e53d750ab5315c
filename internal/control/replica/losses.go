package replica

// This file defines what follows from the number of lost disks that the group can bear: what the
// leader logs of it, and how long acknowledgements are held back.

import (
	"context"
	"slices"
	"strings"
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// maxRepairWait is how long an acknowledgement is held back after the group began to bear fewer
	// losses than it is to bear. A repair takes less if there is a replica to repair it with; if
	// there is none, changes must not stop.
	maxRepairWait = 2 * time.Second
	// repairPollInterval is the time between two checks whether the group has been repaired.
	repairPollInterval = 5 * time.Millisecond
)

// updateBelowTarget records since when the group bears fewer losses than it is to bear.
func (r *Replica) updateBelowTarget(borne int, now time.Duration) {
	switch {
	case !r.node.IsLeader() || borne >= r.node.LossesToBear():
		r.belowTargetSince = 0
	case r.belowTargetSince == 0:
		r.belowTargetSince = now
	}
}

// acknowledgedOutside reports whether the result of a command acknowledges a change to an operator.
// What the instances themselves propose is proposed again if it is lost.
func acknowledgedOutside(c *pb.Command) bool {
	switch c.GetKind().(type) {
	case *pb.Command_EditRules, *pb.Command_Evacuation, *pb.Command_Quarantine, *pb.Command_DrainServer, *pb.Command_PlaceOrder:
		return true
	default:
		return false
	}
}

// awaitRepair waits, after a command has been committed in a term, until the group bears the loss
// of as many disks as it is to bear, or until it has not for maxRepairWait. It fails if the leader has
// changed: the command stays committed, but only the next leader knows what the group bears.
func (r *Replica) awaitRepair(ctx context.Context, term uint64) error {
	var poll *time.Ticker
	for {
		st := r.Status()
		if st.Term != term || st.Role != "leader" {
			return fault.New(fault.NoQuorum, r.cfg.Name, "this replica lost leadership before the group was repaired; the command is committed")
		}
		if st.BelowTargetSince == 0 || r.Now()-st.BelowTargetSince >= maxRepairWait {
			return nil
		}
		if poll == nil {
			poll = time.NewTicker(repairPollInterval)
			defer poll.Stop()
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fault.Wrap(fault.NoQuorum, r.cfg.Name, ctx.Err())
		case <-r.done:
			return fault.New(fault.NoQuorum, r.cfg.Name, "this replica stopped before the group was repaired; the command is committed")
		}
	}
}

// logMembers logs the membership and the number of lost disks that the group can bear, when this
// replica leads and one of them has changed.
func (r *Replica) logMembers(st *Status) {
	if !r.node.IsLeader() {
		r.loggedMembers = ""
		return
	}
	members := formatMembers(st.Members)
	if members == r.loggedMembers && st.LossesBorne == r.loggedLosses {
		return
	}
	r.loggedMembers, r.loggedLosses = members, st.LossesBorne
	log := r.cfg.Logger.WithField("members", members).WithField("lossesBorne", st.LossesBorne).
		WithField("lossesToBear", r.node.LossesToBear()).WithField("term", st.Term)
	if st.LossesBorne < r.node.LossesToBear() {
		log.Warn("control: the group can bear the loss of fewer disks than it is to bear")
		return
	}
	log.Info("control: the members of the group, or the number of lost disks that it can bear, have changed")
}

// formatMembers returns the names of the voters, and behind a slash those of the learners.
func formatMembers(members []*pb.RaftMember) string {
	var voters, learners []string
	for _, m := range members {
		if m.GetLearner() {
			learners = append(learners, m.GetName())
		} else {
			voters = append(voters, m.GetName())
		}
	}
	slices.Sort(voters)
	slices.Sort(learners)
	return strings.Join(voters, ",") + "/" + strings.Join(learners, ",")
}
