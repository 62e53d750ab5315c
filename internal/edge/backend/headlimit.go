package backend

// This file defines the limit on the size of a response head.

import (
	"errors"
	"io"
)

// maxHeadBytes is the largest response head that is read, in bytes, including the
// informational responses before it.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.New("the response head is too large")

// limitedReader reads from a connection. While a head is read it fails after
// maxHeadBytes, as a server may send a head without end.
type limitedReader struct {
	source io.Reader
	// limited is true while a head is read, left is the number of bytes that may
	// still be read for it.
	limited bool
	left    int
}

// beginHead limits the bytes that are read until endHead is called.
func (r *limitedReader) beginHead() { r.limited, r.left = true, maxHeadBytes }

func (r *limitedReader) endHead() { r.limited = false }

func (r *limitedReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.source.Read(b)
	}
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.source.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}
