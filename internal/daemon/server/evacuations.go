package server

// This file defines how an instance serves the operator's calls that start and end
// evacuations, and what it shows of the evacuations in its view.

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// evacuateTimeout limits the time to commit a change of an evacuation. It is shorter than
// the second after which the operator repeats a call, so that no two of its calls are
// under way through one instance.
const evacuateTimeout = 900 * time.Millisecond

// evacuationDump is an active evacuation in the view of this process.
type evacuationDump struct {
	FailureDomain string `json:"failureDomain"`
	Reason        string `json:"reason"`
	// SinceMs is how long ago this process applied it, Index the log index of its start.
	SinceMs int64  `json:"sinceMs"`
	Index   uint64 `json:"index"`
	// Servers is the number of listed backend servers in the failure domain, Running the
	// number of requests that run there as far as this process accounts for them.
	Servers int `json:"servers"`
	Running int `json:"running"`
}

// evacuationTimes holds when this process applied each active evacuation.
type evacuationTimes struct {
	mu        sync.Mutex
	appliedAt map[string]time.Duration
}

func (t *evacuationTimes) start(domain string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.appliedAt == nil {
		t.appliedAt = make(map[string]time.Duration)
	}
	t.appliedAt[domain] = now
}

func (t *evacuationTimes) finish(domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.appliedAt, domain)
}

// since returns how long ago the evacuation of a failure domain was applied; zero if it is
// not active.
func (t *evacuationTimes) since(domain string, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, active := t.appliedAt[domain]
	if !active {
		return 0
	}
	return now - at
}

// Evacuate starts or ends the evacuation of a failure domain. It returns nil once the
// control group has committed that, and TimedOut if it may still be committed.
//
// It queries the leader first. A call may have lain in the buffers of a process that was
// suspended, while the operator has ended the evacuation through another instance. The
// end of its connection is noticed within the round trip, and it is not proposed.
func (e *entry) Evacuate(ctx context.Context, domain string, active bool, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	if _, err := e.instance.control.Query(ctx, &pb.QueryRequest{}); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return fault.Wrap(fault.NoQuorum, domain, ctx.Err())
	}
	r, err := e.instance.control.Propose(ctx, &pb.Command{
		Kind: &pb.Command_Evacuation{
			Evacuation: &pb.Evacuation{
				FailureDomain: domain,
				Active:        active,
				Reason:        reason,
			},
		},
	})
	if err != nil {
		return fault.Wrap(fault.TimedOut, domain, err)
	}
	if r.GetFailure() != "" {
		return fault.New(r.GetFailure(), r.GetSubject(), "no listed instance or backend server is in this failure domain")
	}
	log := e.instance.log.WithFields(logrus.Fields{
		"failureDomain": domain,
		"reason":        reason,
		"index":         r.GetIndex(),
	})
	if active {
		log.Info("operator: the start of an evacuation is committed")
	} else {
		log.Info("operator: the end of an evacuation is committed")
	}
	return nil
}

// logEvacuations logs the evacuations that have started or ended between two views.
func (in *instance) logEvacuations(old, next *view.View) {
	for domain, row := range next.Evacuated {
		before := old.Evacuated[domain]
		if before.GetChangedIndex() == row.GetChangedIndex() {
			continue
		}
		in.evacuationTimes.start(domain, in.now())
		in.log.WithFields(logrus.Fields{
			"failureDomain": domain,
			"reason":        row.GetReason(),
			"index":         row.GetChangedIndex(),
		}).Info("member: the evacuation of a failure domain is applied; its servers get no more requests")
	}
	for domain := range old.Evacuated {
		if next.Evacuated[domain] != nil {
			continue
		}
		in.evacuationTimes.finish(domain)
		in.log.WithField("failureDomain", domain).
			Info("member: the evacuation of a failure domain has ended; its servers get requests again")
	}
}

// dumpEvacuations returns the evacuations in the view, sorted by failure domain.
func (in *instance) dumpEvacuations(v *view.View) []evacuationDump {
	rows := make(map[string]*evacuationDump)
	for domain, row := range v.Evacuated {
		rows[domain] = &evacuationDump{
			FailureDomain: domain,
			Reason:        row.GetReason(),
			SinceMs:       in.evacuationTimes.since(domain, in.now()).Milliseconds(),
			Index:         row.GetChangedIndex(),
		}
	}
	for _, s := range v.Servers {
		row := rows[s.GetFailureDomain()]
		if row == nil || s.GetGone() {
			continue
		}
		row.Servers++
		row.Running += in.running(s)
	}
	var out []evacuationDump
	for _, row := range rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b evacuationDump) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return out
}

// running returns the number of requests that run on a server, as far as this process
// accounts for them.
func (in *instance) running(s *pb.BackendServer) int {
	if in.entry != nil {
		return in.entry.placer.Schedulers().Running(s.GetService(), s.GetName())
	}
	return in.loads()[s.GetName()]
}

// evacuatedDomains returns 1 for each evacuated failure domain, for the metrics.
func (in *instance) evacuatedDomains() map[string]int {
	out := make(map[string]int)
	if in.agent == nil {
		return out
	}
	for domain := range in.agent.View().Evacuated {
		out[domain] = 1
	}
	return out
}
