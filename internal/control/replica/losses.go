package replica

// This file defines what the leader logs of its group: the members, and how many lost disks the
// group can bear.

import (
	"slices"
	"strings"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

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
