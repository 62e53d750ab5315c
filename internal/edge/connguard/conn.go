package connguard

// This file defines conn, the connection that net/http reads from.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"camphorspoke/internal/routing/connlimit"
)

const (
	// lingerTime and lingerBytes bound the wait for a refused client to stop sending, so
	// that the close doesn't reset the connection before the refusal is read.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

var (
	lineEnd = []byte("\n")
	headEnd = []byte("\r\n\r\n")
)

// errRefused ends the reading of a head; net/http then closes without another response.
var errRefused = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: errors.New("the request was refused at a limit"),
}

// conn is a connection that counts what it reads of a head. Only one goroutine reads from it
// at a time, and net/http orders its reads with the changes of its state.
type conn struct {
	net.Conn
	guard   *Guard
	account *connlimit.Conn

	// readingHead is true from the accept or the end of a response until a head is complete.
	readingHead atomic.Bool
	limits      Limits
	headBytes   int
	headLines   int
	// refused is true once the head was refused. net/http may read again after an error.
	refused bool
	// idle is true if the next deadline that net/http sets is that of an idle connection.
	idle bool
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if !c.readingHead.Load() {
		return n, err
	}
	if n > 0 && !c.countHead(p[:n]) {
		return 0, errRefused
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headBytes > 0 {
		c.guard.report(ReasonHeadTime)
	}
	return n, err
}

// countHead counts bytes of a head and refuses it if it is above a limit. Lines of a body
// that arrive in the same piece as the end of the head don't count.
func (c *conn) countHead(p []byte) bool {
	c.headBytes += len(p)
	head := p
	if i := bytes.Index(p, headEnd); i >= 0 {
		head = p[:i+1]
	}
	lines := bytes.Count(head, lineEnd)
	c.headLines += lines
	if c.headBytes > c.limits.HeadBytes || c.headLines > c.limits.HeadLines {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadTooLarge)
		return false
	}
	if !c.guard.hold(c, byteCost*len(p)+lineCost*lines) {
		c.refuse(http.StatusServiceUnavailable, ReasonHeldBytes)
		return false
	}
	return true
}

// refuse answers a head that is not complete, so that its request has not run, and waits
// shortly until the client has stopped sending.
func (c *conn) refuse(status int, reason string) {
	c.refused = true
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry); err != nil {
		// The connection was closed at a limit already.
		return
	}
	c.guard.report(reason)
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, onlyReader{c.Conn}, lingerBytes)
	}
}

// onlyReader hides the other methods of a connection, so that io.CopyN uses a buffer of its
// own and no pipe.
type onlyReader struct{ io.Reader }

// SetReadDeadline implements net.Conn. While a head is awaited, it replaces the server's
// constant times by those in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.readingHead.Load() && !t.IsZero() {
		limit := c.limits.HeadTime
		if c.idle {
			limit, c.idle = c.limits.IdleTime, false
		}
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection on
// which the client still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}
