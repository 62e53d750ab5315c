// Package heap measures the memory that a test holds.
package heap

// This file defines InUse.

import "runtime"

// collections is how many collections InUse makes.
const collections = 8

// InUse returns the bytes of the heap that are in use: the least of several collections, as
// what is allocated during one survives it, although it may be garbage.
func InUse() int {
	least := collect()
	for range collections - 1 {
		least = min(least, collect())
	}
	return least
}

// collect runs a collection and returns the bytes that survive it.
func collect() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
