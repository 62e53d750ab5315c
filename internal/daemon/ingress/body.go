package ingress

// This file defines how the body of a request is read.

import (
	"errors"
	"io"
	"net/http"
	"os"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
)

// defaultMaxBody bounds the request body, in bytes, if the rules set no bound.
const defaultMaxBody = 4 << 20

const (
	// firstRead is how much of a body is read before memory is reserved for it, and
	// firstPart the first reservation, in bytes.
	firstRead = 512
	firstPart = 4 << 10
)

// readBody reads the whole body, so that the request can be sent more than once.
func (c *call) readBody(limit int) error {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	if limit == 0 {
		limit = defaultMaxBody
	}
	body, err := c.readWithinMemory(http.MaxBytesReader(c.w, c.r.Body, int64(limit)), limit)
	var refused *fault.Fault
	if errors.As(err, &refused) {
		return refused
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.Wrap(fault.BodyTimedOut, c.route.Name, err)
	case errors.As(err, &tooLarge):
		return fault.Wrap(fault.BodyTooLarge, c.route.Name, err)
	case err != nil:
		return fault.Wrap(fault.BadRequest, "body", err)
	}
	c.body = body
	return nil
}

// readWithinMemory reads a body. It reserves memory for a part only once the parts before it
// have arrived, so that a body that is announced and never sent holds none.
func (c *call) readWithinMemory(r io.Reader, limit int) ([]byte, error) {
	size, known := limit, false
	if length := c.r.ContentLength; length > 0 && length <= int64(limit) {
		size, known = int(length), true
	}
	r = &deadlineReader{
		Reader: r,
		call:   c,
	}
	first := make([]byte, min(firstRead, size))
	n, err := io.ReadAtLeast(r, first, 1)
	if err == io.EOF && !known {
		return nil, nil
	}
	body := first[:n]
	for _, part := range []int{firstPart, bodymemory.SmallBody, size} {
		part = min(part, size)
		if err != nil || known && len(body) == size {
			break
		}
		if err = c.growReservation(part); err != nil {
			return nil, err
		}
		if part == limit && !known {
			return c.readRest(r, body)
		}
		body, err = readUpTo(r, body, part)
	}
	if err == io.EOF && !known {
		err = nil
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readRest reads the rest of a body of unknown length, and reduces its reservation, which
// is that for the largest body.
func (c *call) readRest(r io.Reader, body []byte) ([]byte, error) {
	rest, err := io.ReadAll(r)
	body = append(body, rest...)
	c.reservations[len(c.reservations)-1](cap(body))
	return body, err
}

// readUpTo reads until the body has the given size or ends; the error is io.EOF then. It is
// io.ErrUnexpectedEOF for a body in chunks that is cut, which io.ReadFull also returns for a
// whole body below the size.
func readUpTo(r io.Reader, body []byte, size int) ([]byte, error) {
	grown := make([]byte, size)
	n := copy(grown, body)
	for n < size {
		more, err := r.Read(grown[n:])
		n += more
		if err != nil && n < size {
			return grown[:n], err
		}
	}
	return grown, nil
}

// deadlineReader fails when the deadline of the request has passed.
type deadlineReader struct {
	io.Reader
	call *call
}

// Read implements io.Reader.
func (d *deadlineReader) Read(p []byte) (int, error) {
	n, err := d.Reader.Read(p)
	if err == nil && d.call.timeLeft() < 0 {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// growReservation replaces the reservation for the body by one of the given size.
func (c *call) growReservation(bytes int) error {
	if err := c.reserve(bytes); err != nil {
		return err
	}
	if n := len(c.reservations); n > 1 {
		c.reservations[0](0)
		c.reservations = c.reservations[1:]
	}
	return nil
}

// reserve reserves memory for the body until the request ends.
func (c *call) reserve(bytes int) error {
	reduce, err := c.h.Bodies.Reserve(c.r.Context(), c.account, bytes)
	if err == nil {
		c.reservations = append(c.reservations, reduce)
	}
	return err
}

func (c *call) releaseBody() {
	// What reports the end of the request later does not keep its body.
	c.body = nil
	for _, reduce := range c.reservations {
		reduce(0)
	}
}
