package backend

// This file defines which requests a connection has carried.

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// history holds the requests that were written to a connection, by the hashes of their IDs. Two
// IDs with the same hash count as one.
type history struct {
	hashes []uint64
}

// add records a request.
func (h *history) add(id string) { h.hashes = append(h.hashes, xxhash.Sum64String(id)) }

// contains reports whether the connection has carried a request with the ID.
func (h *history) contains(id string) bool {
	return slices.Contains(h.hashes, xxhash.Sum64String(id))
}

// len returns the number of requests.
func (h *history) len() int { return len(h.hashes) }
