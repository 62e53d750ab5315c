package ingress

// This file defines how the body of a request is read.

import (
	"errors"
	"io"
	"net/http"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
)

// defaultMaxBody bounds the request body, in bytes, if the rules set no bound.
const defaultMaxBody = 4 << 20

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
	case errors.As(err, &tooLarge):
		return fault.Wrap(fault.BodyTooLarge, c.route.Name, err)
	case err != nil:
		return fault.Wrap(fault.BadRequest, "body", err)
	}
	c.body = body
	return nil
}

// readWithinMemory reads a body once memory is reserved for it: for the length that the
// caller announced, or first for a small body and then for the largest one.
func (c *call) readWithinMemory(r io.Reader, limit int) ([]byte, error) {
	if length := c.r.ContentLength; length > 0 && length <= int64(limit) {
		if err := c.reserve(int(length)); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	first := min(bodymemory.SmallBody, limit)
	if err := c.reserve(first); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(first)))
	if err != nil || len(body) < first {
		return body, err
	}
	if err := c.reserve(limit); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(r)
	body = append(body, rest...)
	// The reservation for the largest body, which is the last one, is reduced to this one.
	reduce := c.reservations[len(c.reservations)-1]
	reduce(cap(body))
	return body, err
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
	for _, reduce := range c.reservations {
		reduce(0)
	}
}
