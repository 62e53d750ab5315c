package ingress

// This file defines how headers of servers that cannot be read are counted and logged.

import (
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/daemon/placer"
)

const (
	// maxReportedHeaders is for how many pairs of a server and a header the log line is
	// remembered. More of them are counted, but not logged.
	maxReportedHeaders = 4096
	// maxLoggedValue is the largest part of a header's value that is logged, in bytes.
	maxLoggedValue = 100
)

// serverHeader is a header of a server.
type serverHeader struct {
	server string
	header string
}

// reportedHeaders holds the headers that have been logged. The zero value works.
type reportedHeaders struct {
	mu   sync.Mutex
	seen map[serverHeader]bool
}

// first reports whether a header of a server is to be logged, which is so once.
func (r *reportedHeaders) first(h serverHeader) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[h] || len(r.seen) >= maxReportedHeaders {
		return false
	}
	if r.seen == nil {
		r.seen = make(map[serverHeader]bool)
	}
	r.seen[h] = true
	return true
}

// reportUnreadable counts the headers of a response that cannot be read, and logs each once
// for a server: a server sends the same form with every response.
func (c *call) reportUnreadable(g *placer.Grant, header http.Header) {
	for _, name := range c.info.UnreadableHeaders {
		c.h.Meters.UnreadableHeader(c.ctx, name)
		if !c.h.reportedHeaders.first(serverHeader{
			server: g.Server,
			header: name,
		}) {
			continue
		}
		value := header.Get(name)
		c.h.Logger.WithFields(logrus.Fields{
			"server":  g.Server,
			"service": c.service,
			"header":  name,
			"value":   value[:min(len(value), maxLoggedValue)],
		}).Warn("ingress: a header of a server cannot be read; the unreadable values are ignored")
	}
}
