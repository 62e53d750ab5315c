package backend

// This file defines Outcome and Probe.

import (
	"context"
	"io"
	"net/http"
	"time"
)

// maxProbeBody is the largest body of an answer to a probe, in bytes, after which its connection is
// kept.
const maxProbeBody = 4 << 10

// Outcome is what became of a new connection to a backend server.
type Outcome struct {
	Address string
	// Begun is when the attempt to open the connection was begun, by Pool.Now.
	Begun time.Duration
	// Opened is true if the connection was opened.
	Opened bool
	// Err is nil once the first byte of a response has come. Otherwise it is why the connection
	// could not be opened, or ended before the first response.
	Err error
}

// report passes the outcome of a new connection on.
func (p *Pool) report(o Outcome) {
	if p.OnConnection != nil {
		p.OnConnection(o)
	}
}

// reportAnswer reports that the first byte of a response has come on a connection, once.
func (p *Pool) reportAnswer(c *conn) {
	if c.answered {
		return
	}
	c.answered = true
	p.report(Outcome{
		Address: c.address,
		Begun:   c.begun,
		Opened:  true,
	})
}

// reportUnanswered reports that a connection has ended before the first response. One that was idle
// before is left out, as its server may have closed it for that.
func (p *Pool) reportUnanswered(c *conn, err error) {
	if c.answered || c.reused {
		return
	}
	p.report(Outcome{
		Address: c.address,
		Begun:   c.begun,
		Opened:  true,
		Err:     err,
	})
}

// watchSilence calls OnSilence if no response begins on a new connection. The function that it
// returns ends that.
func (p *Pool) watchSilence(c *conn) (stop func()) {
	if p.OnSilence == nil || c.answered || c.reused {
		return func() {}
	}
	t := time.AfterFunc(silenceTimeout, func() { p.OnSilence(c.address, c.begun) })
	return func() { t.Stop() }
}

// Probe reports whether the server at address answers a request on a new connection, with any
// status. The connection is kept for the next request. path is that of the health check; if it is
// empty the probe is "OPTIONS *", which runs nothing.
func (p *Pool) Probe(address, path string) bool {
	_, answered := p.Ask(address, path)
	return answered
}

// Answer is the answer of a server to a probe.
type Answer struct {
	// Status is zero if the answer can't be read.
	Status int
	Header http.Header
}

// Ask sends the server at address a probe on a new connection, as Probe does, and returns the answer;
// false if it does not answer.
func (p *Pool) Ask(address, path string) (a Answer, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return Answer{}, false
	}
	req := &Request{
		Method:   http.MethodGet,
		Target:   path,
		Host:     address,
		EchoedID: func(int, http.Header) string { return "" },
	}
	if path == "" {
		req.Method, req.Target = http.MethodOptions, "*"
	}
	ctx, cancel = context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	resp, err := p.exchange(ctx, c, req)
	if err != nil {
		return Answer{}, c.answered
	}
	_, _ = io.CopyN(io.Discard, resp, maxProbeBody)
	resp.Keep()
	return Answer{
		Status: resp.Status,
		Header: resp.Header,
	}, true
}
