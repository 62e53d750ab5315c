package formation

// This file defines Turn.

import (
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// absenceLimit is how long seeds are waited for that don't answer, once more than half of all may
	// form the group. The machines of a system are started at about the same time.
	absenceLimit = time.Second
	// turnInterval is the time between the proposals of two seeds, in the order of their addresses,
	// so that they do not compete.
	turnInterval = 500 * time.Millisecond
)

// Turn decides when a seed makes a proposal. The zero value has not looked yet. It is not safe for
// concurrent use.
type Turn struct {
	// since is when enough seeds have answered first, if enough is true; allSince the same for
	// all seeds.
	enough   bool
	since    time.Duration
	all      bool
	allSince time.Duration
}

// Look returns why the seed at address self may not propose now, empty if it may, and the seed that it
// waits for. answers holds what the seeds have answered, by address; one that is missing
// doesn't answer.
func (t *Turn) Look(now time.Duration, self string, seeds []string, answers map[string]*pb.ReplicaStateResponse) (seed, reason string) {
	if seed, reason = blocked(seeds, answers); reason == GroupExists {
		*t = Turn{}
		return seed, reason
	}
	voters := votersOf(seeds, answers)
	t.update(now, len(voters) >= Quorum(len(seeds)), len(answers) == len(seeds) && reason == "")
	switch {
	case t.all:
		return t.wait(now, self, voters, t.allSince)
	case t.enough && now-t.since >= absenceLimit:
		return t.wait(now, self, voters, t.since+absenceLimit)
	}
	return seed, reason
}

// update records whether enough seeds, and whether all, could form the group now.
func (t *Turn) update(now time.Duration, enough, all bool) {
	if enough && !t.enough {
		t.since = now
	}
	if all && !t.all {
		t.allSince = now
	}
	t.enough, t.all = enough, all
}

// wait returns the first seed, if it is not yet the turn of the one at address self.
func (t *Turn) wait(now time.Duration, self string, voters []string, since time.Duration) (seed, reason string) {
	rank := slices.Index(voters, self)
	if rank < 0 {
		return self, NoVote
	}
	if now-since < time.Duration(rank)*turnInterval {
		return voters[0], OthersTurn
	}
	return "", ""
}

// The reasons to wait for a seed.
const (
	NoAnswer    = "the seed does not answer"
	OldBuild    = "the build of the seed forms groups in another way"
	GroupExists = "the seed is in a group"
	NoVote      = "the seed has lost what it knew at the first start; the group forms once all seeds answer"
	OthersTurn  = "the seed forms the group"
)

// blocked returns the first seed, in the order of addresses, that keeps all seeds together from forming
// a group, and why.
func blocked(seeds []string, answers map[string]*pb.ReplicaStateResponse) (seed, reason string) {
	for _, s := range seeds {
		a := answers[s]
		next := ""
		switch {
		case a == nil:
			next = NoAnswer
		case a.GetFormation().GetFormed() || a.GetFormation() == nil && !a.GetEmpty():
			return s, GroupExists
		case a.GetFormation() == nil || a.GetIdentity() == 0:
			next = OldBuild
		}
		if reason == "" {
			seed, reason = s, next
		}
	}
	if reason == "" {
		return "", ""
	}
	return seed, reason
}

// votersOf returns the seeds that answer and have a vote.
func votersOf(seeds []string, answers map[string]*pb.ReplicaStateResponse) []string {
	var out []string
	for _, s := range slices.Sorted(slices.Values(seeds)) {
		if answers[s].GetFormation().GetVoter() {
			out = append(out, s)
		}
	}
	return out
}
