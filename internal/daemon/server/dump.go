package server

// This file defines the state dump that operators can request from a process.

import (
	"os"
	"strconv"

	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/router"
	"camphorspoke/internal/daemon/version"
	"camphorspoke/internal/routing/view"
)

// dump is the state of a process.
type dump struct {
	Version      string            `json:"version"`
	ProcessID    int               `json:"processId"`
	UptimeMs     int64             `json:"uptimeMs"`
	Member       membership.State  `json:"member"`
	Router       router.State      `json:"router"`
	Replica      *replicaDump      `json:"replica,omitempty"`
	Servers      []serverDump      `json:"backendServers"`
	Instances    []instanceDump    `json:"instances"`
	ControlBytes map[string]uint64 `json:"controlBytes"`
	Violations   map[string]uint64 `json:"violations"`
	Quarantines  []quarantineDump  `json:"quarantines"`
	Evacuations  []evacuationDump  `json:"evacuations"`
}

// quarantineDump is a quarantine of parts of prompts or of a request, as listed in the view of
// this process; the ID and the parts are in hexadecimal. The only part of a request is its
// fingerprint.
type quarantineDump struct {
	Service      string   `json:"service"`
	ID           string   `json:"id"`
	Parts        []string `json:"parts"`
	WholeRequest bool     `json:"wholeRequest"`
	FailedTrials uint32   `json:"failedTrials"`
	Source       string   `json:"source"`
}

// replicaDump is the state of the local control replica.
type replicaDump struct {
	Role       string       `json:"role"`
	Leader     string       `json:"leader"`
	Term       uint64       `json:"term"`
	Commit     uint64       `json:"commit"`
	LastIndex  uint64       `json:"lastIndex"`
	FirstIndex uint64       `json:"firstIndex"`
	Members    []memberDump `json:"members"`
	// LossesBorne is how many more voters may lose their disks; zero unless the replica leads.
	LossesBorne int `json:"lossesBorne"`
	// WaitingFor is the address of the seed that the formation of a group waits for, WaitingReason
	// why, and WaitingMs for how long; empty if it waits for none.
	WaitingFor    string `json:"waitingFor,omitempty"`
	WaitingReason string `json:"waitingReason,omitempty"`
	WaitingMs     int64  `json:"waitingMs,omitempty"`

	OpenOrders int `json:"openOrders"`
	OpenClaims int `json:"openClaims"`
}

// memberDump is a member of the control group.
type memberDump struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// serverDump is a backend server as listed in the view of this process.
type serverDump struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	Leaving       bool   `json:"leaving,omitempty"`
	Drained       bool   `json:"drained,omitempty"`
	Evacuated     bool   `json:"evacuated,omitempty"`
	Gone          bool   `json:"gone,omitempty"`
}

// instanceDump is an instance as listed in the view of this process.
type instanceDump struct {
	Name          string `json:"name"`
	CallerAddress string `json:"callerAddress"`
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving,omitempty"`
	// Isolated is true if the instance reaches no backend server.
	Isolated bool `json:"isolated,omitempty"`
	Gone     bool `json:"gone,omitempty"`
}

func (in *instance) dump() any {
	d := dump{
		Version:      version.String(),
		ProcessID:    os.Getpid(),
		UptimeMs:     in.now().Milliseconds(),
		Member:       in.agent.State(),
		ControlBytes: in.byteCounter.Bytes(),
		Violations:   in.checker.Counts(),
	}
	if in.router != nil {
		d.Router = in.router.State()
	}
	v := in.agent.View()
	for _, s := range v.Servers {
		d.Servers = append(d.Servers, serverDump{
			Name:          s.GetName(),
			Service:       s.GetService(),
			Address:       s.GetAddress(),
			FailureDomain: s.GetFailureDomain(),
			Owner:         v.Owner(s.GetName()).GetName(),
			Epoch:         s.GetEpoch(),
			Leaving:       s.GetLeaving(),
			Drained:       s.GetDrained(),
			Evacuated:     v.IsEvacuated(s),
			Gone:          s.GetGone(),
		})
	}
	for _, i := range v.Instances {
		d.Instances = append(d.Instances, instanceDump{
			Name:          i.GetName(),
			CallerAddress: i.GetCallerAddress(),
			FailureDomain: i.GetFailureDomain(),
			Leaving:       i.GetLeaving(),
			Isolated:      in.agent.Isolated(i.GetName()),
			Gone:          i.GetGone(),
		})
	}
	d.Quarantines = dumpQuarantines(v)
	d.Evacuations = in.dumpEvacuations(v)
	if in.replica != nil {
		d.Replica = dumpReplica(in.replica)
	}
	return d
}

func dumpQuarantines(v *view.View) []quarantineDump {
	var out []quarantineDump
	for service, table := range v.Quarantines {
		for id, q := range table {
			parts := make([]string, len(q.GetParts()))
			for i, part := range q.GetParts() {
				parts[i] = strconv.FormatUint(part, 16)
			}
			out = append(out, quarantineDump{
				Service:      service,
				ID:           strconv.FormatUint(id, 16),
				Parts:        parts,
				WholeRequest: q.GetWholeRequest(),
				FailedTrials: q.GetFailedTrials(),
				Source:       q.GetSource(),
			})
		}
	}
	return out
}

func dumpReplica(r *replica.Replica) *replicaDump {
	st := r.Status()
	d := &replicaDump{
		Role:       st.Role,
		Leader:     st.Leader,
		Term:       st.Term,
		Commit:     st.Commit,
		LastIndex:  st.LastIndex,
		FirstIndex: st.FirstIndex,
		OpenOrders: len(r.Ledger.OpenOrders()),
		OpenClaims: len(r.Ledger.Claims(false)),

		LossesBorne: st.LossesBorne,
	}
	if w := r.Waiting(); w != nil {
		d.WaitingFor, d.WaitingReason, d.WaitingMs = w.Seed, w.Reason, (r.Now() - w.Since).Milliseconds()
	}
	for _, m := range st.Members {
		d.Members = append(d.Members, memberDump{
			Name:    m.GetName(),
			Address: m.GetAddress(),
			Learner: m.GetLearner(),
		})
	}
	return d
}
