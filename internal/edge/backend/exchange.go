package backend

// This file defines Send and the Response it returns.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"camphorspoke/internal/base/fault"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. A larger one is written by its own goroutine, because
	// the server may respond before it has read the whole body.
	maxInlineBody = 4 << 10
	// maxStray is the maximum number of stray responses, those with another
	// request's ID, that are discarded before the exchange fails. Informational
	// (1xx) responses count too.
	maxStray = 3
	// maxStrayBody is the maximum number of bytes read of a stray response body.
	maxStrayBody = 1 << 20
	// awaitBufferSize is the size in bytes of the buffer for the begin of a body that is
	// awaited.
	awaitBufferSize = 4 << 10
)

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	// Body is nil for a request without a body.
	Body []byte
	// ID is the request ID that the response has to echo; see Pool.Send.
	ID string
	// EchoedID returns the request ID that a response echoes, or "" if none.
	EchoedID func(status int, h http.Header) string
}

// Response is the response of a backend server. Close must be called; it closes the
// connection unless Keep has returned that to the pool.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body in bytes, or -1 if unknown.
	Length int64

	pool          *Pool
	conn          *conn
	body          io.ReadCloser
	stopAfterFunc func() bool
	ctx           context.Context
	writeState    *atomic.Int32
	sawStray      bool
	serverCloses  bool
	// endsWithConnection is true if the end of the connection is the end of the body. endErr is what
	// a read returns there, once it has been reached.
	endsWithConnection bool
	endErr             error
	// number is that of the request on its connection, counted from 1.
	number int
	// atEnd is true once the body was read to its end, ended once the connection was
	// closed or returned to the pool, kept if it was returned.
	atEnd bool
	ended bool
	kept  bool
}

// Reused reports whether the response came over a reused connection.
func (r *Response) Reused() bool { return r.conn.reused }

// Opened returns when, by Pool.Now, the attempt to open the connection was begun.
func (r *Response) Opened() time.Duration { return r.conn.begun }

// Number returns the number of the request on its connection, counted from 1.
func (r *Response) Number() int { return r.number }

// The states of writing a request.
const (
	writePending int32 = iota
	writeDone
)

// Send writes a request to the backend server at address and reads the status
// line and headers of its response. An Unreachable fault means that no byte was
// sent; LinkBroken, WrongFrame and TimedOut mean that the request may have run.
// Responses that echo the ID of another request, which a faulty server may send
// late, are discarded. One that echoes none is an error on a connection that has had
// other requests. The connection has not carried a request with this ID before, as a late
// copy of the response to that would echo it too.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	if ctx.Err() != nil {
		// The AfterFunc below closes the connection only once the request may be written.
		return nil, fault.Wrap(fault.Unreachable, address, ctx.Err())
	}
	c, err := p.get(ctx, address, req.ID)
	if err != nil {
		return nil, err
	}
	return p.exchange(ctx, c, req)
}

// exchange writes a request to a connection and reads the status line and headers of its response.
func (p *Pool) exchange(ctx context.Context, c *conn, req *Request) (*Response, error) {
	defer p.watchSilence(c)()
	stopAfterFunc := context.AfterFunc(ctx, func() { c.Close() })
	writeState := &atomic.Int32{}
	c.requests.add(req.ID)
	number := c.requests.len()
	if err := c.write(req, writeState); err != nil {
		stopAfterFunc()
		c.Close()
		if ctx.Err() == nil {
			p.reportUnanswered(c, err)
		}
		return nil, err
	}
	resp, stray, err := c.readHead(req, p.reportAnswer)
	if err != nil {
		stopAfterFunc()
		c.Close()
		if ctx.Err() != nil {
			return nil, fault.Wrap(fault.TimedOut, c.address, ctx.Err())
		}
		p.reportUnanswered(c, err)
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,

		pool:          p,
		conn:          c,
		body:          resp.Body,
		stopAfterFunc: stopAfterFunc,
		ctx:           ctx,
		writeState:    writeState,
		sawStray:      stray,
		serverCloses:  resp.Close,

		endsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,

		number: number,
	}, nil
}

// write sends the request head together with a small body; a large body is
// sent by a goroutine while the response is read.
func (c *conn) write(req *Request, writeState *atomic.Int32) error {
	c.written = nil
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		return fault.Wrap(fault.Internal, c.address, err)
	}
	if req.Body != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(req.Body) <= maxInlineBody {
		b.Write(req.Body)
		n, err := c.Write(b.Bytes())
		writeState.Store(writeDone)
		return c.writeError(n, err)
	}
	n, err := c.Write(b.Bytes())
	if err != nil {
		return c.writeError(n, err)
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		_, err := c.Write(req.Body)
		if err == nil {
			writeState.Store(writeDone)
		}
		written <- err
	}()
	return nil
}

// endedInOrder reports whether the end of what the connection carries, which a read has found, was an
// orderly end by the server. The error of a connection that was reset is reported once, to the read
// or to the write that comes first. If the write takes it, the read finds an end.
func (c *conn) endedInOrder() bool {
	if c.written == nil {
		return true
	}
	// The write ends now; if it had taken the error, it returns that and not the deadline.
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	err := <-c.written
	// A broken pipe means that the server's end had arrived before the reset.
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}

// writeError returns err, the result of a write that sent n bytes, as a fault:
// Unreachable if nothing was sent, LinkBroken otherwise. It returns nil if err
// is nil.
func (c *conn) writeError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0 && !errors.Is(err, net.ErrClosed):
		return fault.Wrap(fault.Unreachable, c.address, err)
	default:
		return fault.Wrap(fault.LinkBroken, c.address, err)
	}
}

// readHead reads the status line and headers of the response to req. It skips
// informational (1xx) responses and discards stray ones; stray reports whether
// there were any. onByte is called once the first byte has come.
func (c *conn) readHead(req *Request, onByte func(*conn)) (resp *http.Response, stray bool, err error) {
	httpReq := &http.Request{
		Method: req.Method,
	}
	c.limit.beginHead()
	defer c.limit.endHead()
	for range maxStray + 1 {
		if _, perr := c.r.Peek(1); perr != nil {
			return nil, stray, fault.Wrap(fault.LinkBroken, c.address, perr)
		}
		onByte(c)
		resp, err = http.ReadResponse(c.r, httpReq)
		if err != nil {
			return nil, stray, fault.Wrap(fault.WrongFrame, c.address, err)
		}
		if !isStatus(resp.StatusCode) {
			return nil, stray, fault.New(fault.WrongFrame, c.address, "received a response with the status "+strconv.Itoa(resp.StatusCode))
		}
		if containsStatusLine(resp) {
			return nil, stray, fault.New(fault.WrongFrame, c.address, "the response head breaks off and runs into another response")
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		echo := req.EchoedID(resp.StatusCode, resp.Header)
		if echo == "" && req.ID != "" && !c.trustsUnnamed(resp.StatusCode) {
			return nil, stray, fault.New(fault.WrongFrame, c.address, "received a response that names no request")
		}
		if echo == "" || echo == req.ID {
			return resp, stray, nil
		}
		stray = true
		if req.Method == http.MethodHead {
			// The stray response may have a body, which cannot be told from the next response.
			return nil, stray, fault.New(fault.WrongFrame, c.address, "received a response to another request before that to HEAD")
		}
		if err := c.discardBody(resp); err != nil {
			return nil, stray, err
		}
	}
	return nil, stray, fault.New(fault.WrongFrame, c.address, "received only informational responses or responses to other requests")
}

// isStatus reports whether a status is in one of the classes that HTTP defines.
func isStatus(status int) bool { return status >= http.StatusContinue && status < 600 }

// statusLine matches a status line at the end of a text.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( .*)?$`)

// containsStatusLine reports whether the head of a response contains the status line of
// another one: its server did not finish the head, so that the headers of both stand
// together.
func containsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// trustsUnnamed reports whether a response that names no request is taken as that to the
// last one. It is not if it may be a late copy of a response to an earlier request on the
// connection: a refusal would then state that a request did not run which does. A success
// always names its request.
func (c *conn) trustsUnnamed(status int) bool {
	return c.requests.len() == 1 && status >= http.StatusMultipleChoices
}

// discardBody reads the body of a stray response to its end, which has to come within
// maxStrayBody bytes.
func (c *conn) discardBody(resp *http.Response) error {
	c.limit.endHead()
	defer c.limit.beginHead()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
	if err != nil {
		return fault.Wrap(fault.WrongFrame, c.address, err)
	}
	if n == maxStrayBody {
		return fault.New(fault.WrongFrame, c.address, "the body of a response to another request does not end")
	}
	return nil
}

// Read reads from the body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		return n, r.end()
	}
	if err != nil {
		r.Close()
		return n, fault.Wrap(fault.LinkBroken, r.conn.address, err)
	}
	return n, nil
}

// end returns io.EOF at the end of the body, or a failure if the body is not complete there.
func (r *Response) end() error {
	if r.endErr != nil {
		return r.endErr
	}
	if r.endsWithConnection && !r.conn.endedInOrder() {
		r.Close()
		r.endErr = fault.New(fault.LinkBroken, r.conn.address, "the connection was reset before the end of a response without a length")
		return r.endErr
	}
	r.atEnd, r.endErr = true, io.EOF
	return r.endErr
}

// AwaitBody waits for the first byte of the body, or for its end. The bytes that have arrived are
// returned by Read.
func (r *Response) AwaitBody() error {
	buffered := bufio.NewReaderSize(r.body, awaitBufferSize)
	r.body = struct {
		io.Reader
		io.Closer
	}{buffered, r.body}
	if _, err := buffered.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		return fault.Wrap(fault.LinkBroken, r.conn.address, err)
	}
	return nil
}

// Keep returns the connection to the pool, so that another request may use it. It must be
// called only once it is certain that the server no longer works on the request: after a
// whole answer, or a statement that the request did not run. The end of a body proves
// neither, and a server stops when its connection is closed. A connection that can't
// be reused is closed: the body was not read to its end, the request was cancelled, a stray
// response came, the server closes the connection, or the request body is not fully written.
func (r *Response) Keep() {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stopAfterFunc() || !r.atEnd || r.sawStray || r.serverCloses || r.writeState.Load() != writeDone {
		r.conn.Close()
		return
	}
	r.kept = r.pool.put(r.conn, keepAliveTimeout(r.Header.Get("Keep-Alive")))
}

// Close closes the connection unless Keep was called before.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.stopAfterFunc()
	r.conn.Close()
}

// Kept reports whether the connection was returned to the pool.
func (r *Response) Kept() bool { return r.kept }

// SetReadDeadline sets the deadline of reads from the body.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// AtEnd reports whether the body was read to its end.
func (r *Response) AtEnd() bool { return r.atEnd }
