package connguard

// This file defines how bodies of requests are read.

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/routing/connlimit"
)

// retryAfter is the retry delay given to a client whose body found no memory.
const retryAfter = time.Second

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn adds the connection to the context, as http.Server.ConnContext.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// handler passes requests on with guarded bodies.
type handler struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if ok && r.ContentLength != 0 && r.Body != nil && r.Body != http.NoBody {
		c.guard.enter(c, connlimit.Body)
		r.Body = &body{
			ReadCloser: r.Body,
			conn:       c,
		}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request. A read fails with os.ErrDeadlineExceeded if nothing arrives
// for Limits.BodyTime.
type body struct {
	io.ReadCloser
	conn *conn
	// ended is true once the body is complete or has failed. net/http then reads in the
	// background for the end of the connection, and no deadline may be set.
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended || len(p) == 0 {
		return b.ReadCloser.Read(p)
	}
	c := b.conn
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits.BodyTime))
	n, err := b.ReadCloser.Read(p)
	held := 0
	if c.guard.CountBodies {
		held = byteCost * n
	}
	if n > 0 && !c.guard.hold(c, held) {
		b.ended = true
		c.guard.report(ReasonHeldBytes)
		return 0, &fault.Fault{
			Kind:       fault.Overloaded,
			Subject:    "body",
			Advice:     "the memory for the bodies of requests is used up",
			RetryAfter: retryAfter,
		}
	}
	if err == nil {
		return n, nil
	}
	b.ended = true
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.report(ReasonBodyTime)
	}
	if errors.Is(err, io.EOF) {
		c.guard.enter(c, connlimit.Running)
	}
	return n, err
}
