package fleet

// This file defines Topology and its values for the two deployments.

import (
	"fmt"
	"strings"
)

// Topology describes which processes a deployment consists of.
type Topology struct {
	Name string
	// Domains are the failure domains, over which daemons and backend servers
	// are distributed in turn.
	Domains []string
	Daemons int
	// Replicas is the number of daemons that run a replica of the control group
	// and have a data folder.
	Replicas int
	// EngineService is the name of the service with Engines model engines,
	// PlainService that of the service with PlainServers servers.
	EngineService string
	Engines       int
	PlainService  string
	PlainServers  int
	// Slots is how many requests a backend server runs at once.
	Slots int
	// CacheTokens is the size of the prefix cache of an engine.
	CacheTokens int
	// EngineFlags, DaemonFlags and PlainFlags are further flags of each engine,
	// daemon and plain server.
	EngineFlags []string
	DaemonFlags []string
	PlainFlags  []string
}

// Skeena returns the description of Skeena's deployment.
func Skeena() Topology {
	return Topology{
		Name:          "skeena",
		Domains:       []string{"terrace", "smithers", "kitimat"},
		Daemons:       10,
		Replicas:      3,
		EngineService: "assist-models",
		Engines:       9,
		PlainService:  "dispatch-app",
		PlainServers:  3,
		Slots:         8,
		CacheTokens:   400_000,
	}
}

// Hanbit returns the description of Hanbit's deployment.
func Hanbit() Topology {
	return Topology{
		Name:          "hanbit",
		Domains:       []string{"a", "b", "c", "d"},
		Daemons:       10,
		Replicas:      3,
		EngineService: "fit-llm",
		Engines:       9,
		PlainService:  "coop-app",
		PlainServers:  4,
		Slots:         8,
		CacheTokens:   400_000,
	}
}

// Rules returns a rule file for the deployment. note becomes part of the comments
// of the services, so that files with different notes differ.
func (t Topology) Rules(note string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service %s type=engine bound=1.25 retry=20%% spill=move # operations: %s\n", t.EngineService, note)
	fmt.Fprintf(&b, "service %s type=plain bound=3 retry=20%% # operations: %s\n", t.PlainService, note)
	fmt.Fprintf(&b, "nonidempotent %s call=book-visit # billing: a visit is charged once\n", t.PlainService)
	fmt.Fprintf(&b, "kind summary class=urgent # floor lead: the customer is waiting\n")
	fmt.Fprintf(&b, "kind lookup class=normal # floor lead: everyday traffic\n")
	fmt.Fprintf(&b, "kind overnight class=batch # office: ready by morning\n")
	for i := range 10 {
		share := 1
		if i < 2 {
			share = 4
		}
		fmt.Fprintf(&b, "account %s-%d share=%d limit=200 # sales: contract %d\n", t.Name, i, share, i)
	}
	return []byte(b.String())
}
