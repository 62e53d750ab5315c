package soak

// This file defines backend servers that become another incarnation at the same address, and
// the late copies of refusals.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"camphorspoke/platform/wireformat"
)

const (
	// maxListLag is the longest time until the list shows the name of a new incarnation.
	maxListLag = 200 * time.Millisecond
	// maxRenames is the most incarnations that a server becomes in one fault.
	maxRenames = 4
	// renamePause is the longest time between the list's change and the next incarnation.
	renamePause = 600 * time.Millisecond
	// maxCopyDelay is how long after the arrival of a request the copy is written at most.
	maxCopyDelay = executionTime / 2
)

// renameKind is the kind of fault in which all servers of a service become other incarnations
// at their addresses. It breaks no connection and no request.
var renameKind = faultKind{name: "rename", planned: true, inject: (*injector).rename}

// rename makes the servers of a random service other incarnations, a few times in a row, so
// that requests are refused everywhere and go to an address for the second time.
func (f *injector) rename() error {
	service := f.randomBackend().service
	var servers []*backend
	for _, b := range f.s.serverList.all() {
		// Another injector may be replacing or restarting it.
		if b.service == service && b.replaced.CompareAndSwap(false, true) {
			servers = append(servers, b)
			defer b.replaced.Store(false)
		}
	}
	for range 1 + f.rng.IntN(maxRenames) {
		for _, b := range servers {
			b.rename(f.randomDuration(maxListLag))
		}
		time.Sleep(maxListLag + f.randomDuration(renamePause))
	}
	return nil
}

// rename makes the server another incarnation, which the list shows after listLag.
func (b *backend) rename(listLag time.Duration) {
	n := b.beginIncarnation()
	time.AfterFunc(listLag, func() { b.list(n) })
}

// beginIncarnation makes the server another incarnation and returns its number.
func (b *backend) beginIncarnation() int64 {
	b.incarnationMu.Lock()
	defer b.incarnationMu.Unlock()
	n := b.incarnation.Load() + 1
	b.checker.Located(b.incarnationID(n), b.domain)
	b.incarnation.Store(n)
	return n
}

// list lets the list show an incarnation, unless it shows a later one.
func (b *backend) list(n int64) {
	b.incarnationMu.Lock()
	defer b.incarnationMu.Unlock()
	b.listed.Store(max(n, b.listed.Load()))
}

// id returns the ID of the current incarnation.
func (b *backend) id() string { return b.incarnationID(b.incarnation.Load()) }

func (b *backend) incarnationID(n int64) string { return fmt.Sprintf("%s.%d", b.name, n) }

// connRefusals holds the latest refusal that was sent on a connection and not repeated yet.
// The requests on a connection are served one after another.
type connRefusals struct {
	conn   net.Conn
	latest string
}

// refusalsKey is the key of connRefusals in the context of a request.
type refusalsKey struct{}

func withRefusals(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, refusalsKey{}, &connRefusals{
		conn: conn,
	})
}

// refuse responds that the request was not executed.
func (b *backend) refuse(w http.ResponseWriter, req *http.Request, status int) {
	w.Header().Set(wireformat.NotRunHeader, "1")
	w.WriteHeader(status)
	if !b.repeatsRefusals {
		return
	}
	r, _ := req.Context().Value(refusalsKey{}).(*connRefusals)
	var header strings.Builder
	_ = w.Header().Write(&header) // a strings.Builder returns no error
	r.latest = fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), header.String())
}

// repeatRefusal writes a copy of the latest refusal on the connection of a request that is
// executed, before its response.
func (b *backend) repeatRefusal(req *http.Request) {
	r, _ := req.Context().Value(refusalsKey{}).(*connRefusals)
	if r.latest == "" {
		return
	}
	text := r.latest
	r.latest = ""
	time.Sleep(rand.N(maxCopyDelay))
	if _, err := r.conn.Write([]byte(text)); err != nil {
		return // the daemon has closed the connection
	}
	b.checker.Count("copies of refusals")
	if strings.Contains(text, ": "+req.Header.Get(wireformat.RequestIDHeader)+"\r\n") {
		b.checker.Count("copies of refusals of the same request")
	}
}
