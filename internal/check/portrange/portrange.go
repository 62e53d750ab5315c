// Package portrange reserves ranges of loopback ports for processes that are
// started and restarted by tests. The ports lie below the ephemeral range of the
// operating system, so no outgoing connection takes one while its process is down,
// and a listener that the Range holds keeps other tests away from them.
package portrange

// This file defines Range.

import (
	"fmt"
	"math/rand/v2"
	"net"

	"camphorspoke/internal/base/fault"
)

const (
	// Size is how many consecutive ports a range has.
	Size = 127
	// firstPort and lastPort bound all ranges. The ephemeral range of Linux begins
	// after lastPort.
	firstPort = 16_384
	lastPort  = 32_767
	// stride is the distance between two ranges: Size ports and one for the lock.
	stride = Size + 1
	// attempts is how many ranges are tried before New fails.
	attempts = 200
)

// lockAddress is a loopback address that no test uses, so the lock of a range is
// on none of the addresses on which the range is used.
const lockAddress = "127.255.255.254"

// Range is Size consecutive ports, on every loopback address, that no other Range
// has until the function that New returns is called.
type Range struct {
	// First is the first port.
	First int
}

// New reserves a range whose ports are free now. The function it returns releases
// the range.
func New() (Range, func(), error) {
	ranges := (lastPort + 1 - firstPort) / stride
	for range attempts {
		r := Range{
			First: firstPort + rand.IntN(ranges)*stride,
		}
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", lockAddress, r.First+Size))
		if err != nil {
			continue
		}
		if !r.free() {
			lock.Close()
			continue
		}
		return r, func() { lock.Close() }, nil
	}
	return Range{}, nil, fault.New(fault.Internal, "ports", fmt.Sprintf("no free range of ports found in %d attempts", attempts))
}

// free reports whether nothing listens at a port of the range, at any address.
func (r Range) free() bool {
	for port := r.First; port < r.First+Size; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf(":%d", port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// Address returns the address of the i-th port at a loopback address; i is below
// Size.
func (r Range) Address(ip string, i int) string {
	return fmt.Sprintf("%s:%d", ip, r.First+i)
}
