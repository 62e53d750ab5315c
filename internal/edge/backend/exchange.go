package backend

// This file defines Send and the Response it returns.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"camphorspoke/internal/world/fault"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read; a larger one is written beside, as the answer may come first.
	inlineBody = 4 << 10
	// maxStray is the most answers to other requests that are passed over.
	maxStray = 3
	// maxStrayBody bounds what is read of them.
	maxStrayBody = 1 << 20
)

// Message is a request to a backend server.
type Message struct {
	Method string
	// Target is the path with the query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	// Body is nil for a request without one.
	Body []byte
	// ID is echoed in the answer; see Pool.Send.
	ID string
	// IDHeader names the header that echoes it.
	EchoOf func(status int, h http.Header) string
}

// Response is the answer of a backend server. Its body must be read to the end,
// or the response closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, below zero when it is not said.
	Length int64

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	ctx     context.Context
	written *atomic.Int32
	stray   bool
	closes  bool
	ended   bool
}

// Reused reports whether the answer came over a kept connection.
func (r *Response) Reused() bool { return r.conn.used }

// The states of the writing of a request.
const (
	writing int32 = iota
	wrote
)

// Send writes a request to the backend server at address and reads the head of
// its answer. An Unreachable fault means that no byte has left; a LinkBroken or
// WrongFrame fault that the request may have run. Answers to other requests,
// which a faulty server sends late, are passed over.
func (p *Pool) Send(ctx context.Context, address string, m *Message) (*Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := &atomic.Int32{}
	if err := c.write(m, written); err != nil {
		stop()
		c.Close()
		return nil, err
	}
	resp, stray, err := c.readHead(m)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			return nil, fault.Wrap(fault.TimedOut, address, ctx.Err())
		}
		return nil, err
	}
	return &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		pool:    p,
		conn:    c,
		body:    resp.Body,
		stop:    stop,
		ctx:     ctx,
		written: written,
		stray:   stray,
		closes:  resp.Close,
	}, nil
}

// write sends the head and a small body at once, and a large body beside the
// reading of the answer.
func (c *conn) write(m *Message, written *atomic.Int32) error {
	var b bytes.Buffer
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if err := m.Header.Write(&b); err != nil {
		return fault.Wrap(fault.Internal, c.address, err)
	}
	if m.Body != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(m.Body) <= inlineBody {
		b.Write(m.Body)
		n, err := c.Write(b.Bytes())
		written.Store(wrote)
		return c.sent(n, err)
	}
	n, err := c.Write(b.Bytes())
	if err != nil {
		return c.sent(n, err)
	}
	go func() {
		if _, err := c.Write(m.Body); err == nil {
			written.Store(wrote)
		}
	}()
	return nil
}

// sent types the failure of a write after n bytes.
func (c *conn) sent(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0 && !errors.Is(err, net.ErrClosed):
		return fault.Wrap(fault.Unreachable, c.address, err)
	default:
		return fault.Wrap(fault.LinkBroken, c.address, err)
	}
}

// readHead reads the head of the answer to m.
func (c *conn) readHead(m *Message) (resp *http.Response, stray bool, err error) {
	req := &http.Request{
		Method: m.Method,
	}
	for range maxStray + 1 {
		if _, perr := c.r.Peek(1); perr != nil {
			return nil, stray, fault.Wrap(fault.LinkBroken, c.address, perr)
		}
		resp, err = http.ReadResponse(c.r, req)
		if err != nil {
			return nil, stray, fault.Wrap(fault.WrongFrame, c.address, err)
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		echo := m.EchoOf(resp.StatusCode, resp.Header)
		if echo == "" || echo == m.ID {
			return resp, stray, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody)); err != nil {
			return nil, stray, fault.Wrap(fault.WrongFrame, c.address, err)
		}
	}
	return nil, stray, fault.New(fault.WrongFrame, c.address, "the answers belong to other requests")
}

// Read reads from the body. At its end the connection is given back.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.end()
		return n, err
	}
	if err != nil {
		r.Close()
		return n, fault.Wrap(fault.LinkBroken, r.conn.address, err)
	}
	return n, nil
}

// end gives the connection back, if nothing speaks against its use.
func (r *Response) end() {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stop() || r.stray || r.closes || r.written.Load() != wrote {
		r.conn.Close()
		return
	}
	r.pool.put(r.conn, keepTime(r.Header.Get("Keep-Alive")))
}

// Close drops the connection of an answer that was not read to its end.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.stop()
	r.conn.Close()
}

// SetReadDeadline bounds the wait for the next bytes.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Ended reports whether the body was read to its end.
func (r *Response) Ended() bool { return r.ended }
