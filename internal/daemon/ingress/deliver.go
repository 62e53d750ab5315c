package ingress

// This file defines how the answer of a backend server is passed on.

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/events"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

// deliver passes an answer on.
func (c *call) deliver(resp *backend.Response, a edge.Answer) (verdict, scheduler.Event) {
	if c.route.Kind == file.Stream && resp.Status == http.StatusOK && a.Signed {
		return c.deliverStream(resp)
	}
	return c.deliverWhole(resp, a)
}

// deliverWhole reads the body before its head is passed on, so that an answer
// that breaks off is never passed on.
func (c *call) deliverWhole(resp *backend.Response, a edge.Answer) (verdict, scheduler.Event) {
	if c.begun {
		// A stream that had begun can't go on with another status.
		c.last = fault.New(fault.WrongFrame, c.service, "a resumed stream was answered by another status")
		return broken, scheduler.Failed
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, io.LimitReader(resp, wholeBody)); err != nil {
		c.last = err
		return broken, scheduler.Broken
	}
	if resp.Status >= http.StatusInternalServerError {
		c.last = fault.New(fault.InDoubt, c.service, "the backend server failed")
		if c.again(failed, 0) && c.h.Now() < c.limit {
			return failed, scheduler.Failed
		}
	}
	if resp.Status < http.StatusMultipleChoices && !a.Signed {
		c.last = fault.New(fault.WrongFrame, c.service, "the answer is not signed")
		return broken, scheduler.Broken
	}
	c.begin(resp)
	if resp.Length >= 0 && int64(body.Len()) == resp.Length || !c.more(resp) {
		_, _ = c.w.Write(body.Bytes())
		return ended, c.wholeEvent(resp.Status)
	}
	return c.deliverLarge(resp, body.Bytes())
}

func (c *call) wholeEvent(status int) scheduler.Event {
	if status >= http.StatusInternalServerError {
		return scheduler.Failed
	}
	return scheduler.Done
}

// more reports whether a body goes on after what was read at first.
func (c *call) more(resp *backend.Response) bool { return !resp.Ended() }

func (c *call) deliverLarge(resp *backend.Response, first []byte) (verdict, scheduler.Event) {
	if _, err := c.w.Write(first); err != nil {
		return c.callerLost()
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		c.last = err
		return broken, scheduler.Broken
	}
	return ended, scheduler.Done
}

// callerLost ends an answer whose caller takes no more.
func (c *call) callerLost() (verdict, scheduler.Event) {
	c.logEnd("callerLost", nil)
	c.lost = true
	return ended, scheduler.Cancelled
}

// begin writes the head of the answer.
func (c *call) begin(resp *backend.Response) {
	if c.begun {
		return
	}
	c.begun = true
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range perConnection {
		if name != "Content-Length" || c.route.Kind == file.Stream {
			h.Del(name)
		}
	}
	if _, leaving := c.h.ending(); leaving {
		h.Set("Connection", "close")
	}
	c.status = resp.Status
	c.w.WriteHeader(resp.Status)
}

// deliverStream passes whole events on as they come.
func (c *call) deliverStream(resp *backend.Response) (verdict, scheduler.Event) {
	var split events.Splitter
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Read(buf)
		if whole := split.Add(buf[:n]); len(whole) > 0 {
			if !c.passOn(resp, whole) {
				return c.callerLost()
			}
			if split.LastID != "" {
				c.lastEvent = split.LastID
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.last = err
			return broken, scheduler.Broken
		}
	}
	if rest := split.Rest(); len(rest) > 0 && !c.passOn(resp, rest) {
		return c.callerLost()
	}
	c.begin(resp)
	return ended, scheduler.Done
}

// passOn writes bytes of a stream to the caller at once.
func (c *call) passOn(resp *backend.Response, b []byte) bool {
	c.begin(resp)
	if _, err := c.w.Write(b); err != nil {
		return false
	}
	c.delivered += len(b)
	return http.NewResponseController(c.w).Flush() == nil
}
