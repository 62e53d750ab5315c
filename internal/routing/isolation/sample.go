package isolation

// This file defines Server and Sample.

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Server is a server that may be asked.
type Server struct {
	Address       string
	Service       string
	FailureDomain string
	// HealthPath is the path of the health check of its service; empty if it has none.
	HealthPath string
}

// Sample returns at most n servers, other than the one at address except, to find out whether this
// instance reaches any. They are of as many services as possible, and of as many failure domains,
// as one of these may be down as a whole.
func Sample(servers []Server, except string, n int) []Server {
	var out []Server
	left := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Address == except })
	rand.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	services, domains := make(map[string]int), make(map[string]int)
	for len(out) < n && len(left) > 0 {
		next := slices.MinFunc(left, func(a, b Server) int {
			return cmp.Or(cmp.Compare(services[a.Service], services[b.Service]), cmp.Compare(domains[a.FailureDomain], domains[b.FailureDomain]))
		})
		services[next.Service]++
		domains[next.FailureDomain]++
		out = append(out, next)
		left = slices.DeleteFunc(left, func(s Server) bool { return s.Address == next.Address })
	}
	return out
}
