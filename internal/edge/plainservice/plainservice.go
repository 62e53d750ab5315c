// Package plainservice calls plain services over HTTP, with one POST per call.
//
// The connection is opened before the request is written, so a dial error
// proves that the call was not executed. Once a byte was written, only the
// backend server can state this, by responding 503 with the header
// Not-Run: true.
package plainservice

// This file defines Client.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/link"
)

const (
	// MaxBody is the largest response body that is accepted, in bytes.
	MaxBody = 1 << 20

	headerKey     = "Idempotency-Key"
	headerAccount = "Client-Account"
	headerNotRun  = "Not-Run"
)

// Client calls backend servers by address. It does not reuse connections: if a
// request is written to a connection that the server has just closed, it is
// unknown whether the call was executed.
type Client struct {
	http *http.Client
}

var _ edge.PlainService = (*Client)(nil)

// New returns a client.
func New() *Client {
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:            link.ResetUnsent(&net.Dialer{}),
				DisableKeepAlives:      true,
				MaxResponseHeaderBytes: link.MaxHeaderBytes,
			},
			// A followed redirect would be a second call.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Call runs one call.
func (c *Client) Call(ctx context.Context, address string, call edge.Call) ([]byte, error) {
	u := url.URL{
		Scheme: "http",
		Host:   address,
		Path:   "/call/" + call.Name,
	}
	var written atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) },
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.Wrap(fault.NotRun, address, err)
	}
	// With GetBody set, the transport may retry the request by itself.
	req.GetBody = nil
	req.Header.Set(headerAccount, call.ClientAccount)
	if call.Key != "" {
		req.Header.Set(headerKey, call.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if dialFailed(err) {
			return nil, fault.Wrap(fault.NotRun, address, err)
		}
		return nil, fault.Wrap(fault.InDoubt, address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "true":
		return nil, fault.New(fault.NotRun, address, "the backend server reports that it did not execute the call")
	case err != nil:
		return nil, fault.Wrap(fault.InDoubt, address, err)
	case endsWithConnection(resp) && !written.Load():
		// If the connection was reset, the write of the call may have taken its error, and the read
		// finds an end.
		return nil, fault.New(fault.InDoubt, address, "a response without a length ended before the call was written")
	case len(body) > MaxBody:
		return nil, fault.New(fault.InDoubt, address, "the response body exceeds the size limit")
	case resp.StatusCode != http.StatusOK:
		return nil, fault.New(fault.InDoubt, address, "the backend server responded "+resp.Status)
	}
	return body, nil
}

// endsWithConnection reports whether the end of the connection is the end of the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// dialFailed reports whether err occurred before a connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
