// Package bounded defines the load bound of a backend server.
package bounded

// This file defines Limit.

import "math"

// Limit returns the most requests a server may carry when one is added to a
// service that carries total requests on n servers: ceil(c x mean), the mean
// counting the new request. A total that is too low errs on the safe side.
func Limit(c float64, total, n int) int {
	if n <= 0 {
		return 0
	}
	return int(math.Ceil(c * float64(total+1) / float64(n)))
}
