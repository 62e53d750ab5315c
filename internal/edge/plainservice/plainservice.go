// Package plainservice adapts plain services: one POST a call.
//
// A connection is opened before the request is written, so a failure to dial
// is proof that the call was not run. After the first byte was written only
// the backend server can say so, by answering 503 with the header
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
	"net/url"

	"camphorspoke/internal/edge"
	"camphorspoke/internal/world/fault"
)

const (
	// MaxBody is the largest answer, in bytes.
	MaxBody = 1 << 20

	headerKey     = "Idempotency-Key"
	headerAccount = "Client-Account"
	headerNotRun  = "Not-Run"
)

// Client reaches backend servers by address. It uses no kept connection: a
// request written to a connection that the other side has just closed would
// leave open whether it ran.
type Client struct {
	http *http.Client
}

var _ edge.PlainService = (*Client)(nil)

// New returns a client.
func New() *Client {
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.Wrap(fault.NotRun, address, err)
	}
	// The transport would replay a request whose body it can rewind.
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
	case resp.Header.Get(headerNotRun) == "true":
		return nil, fault.New(fault.NotRun, address, "the backend server says that it did not run the call")
	case err != nil:
		return nil, fault.Wrap(fault.InDoubt, address, err)
	case len(body) > MaxBody:
		return nil, fault.New(fault.InDoubt, address, "the answer is larger than the limit")
	case resp.StatusCode != http.StatusOK:
		return nil, fault.New(fault.InDoubt, address, "the backend server answered "+resp.Status)
	}
	return body, nil
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
