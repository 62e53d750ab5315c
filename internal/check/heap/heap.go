// Package heap measures the memory that a test holds.
package heap

// This file defines InUse.

import "runtime"

// InUse returns the bytes of the heap that are in use after a collection.
func InUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
