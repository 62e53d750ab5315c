// Package loadbound computes the load limit of a backend server, as in
// consistent hashing with bounded loads.
package loadbound

// This file defines Limit.

import "math"

// Limit returns the maximum load of a server of a service that has n servers
// and total requests in flight, when one more request is admitted. It is
// ceil(c x mean), where the mean load includes the new request. If the given
// total is too low, the limit is too low as well, and never too high.
func Limit(c float64, total, n int) int {
	if n <= 0 {
		return 0
	}
	return int(math.Ceil(c * float64(total+1) / float64(n)))
}
