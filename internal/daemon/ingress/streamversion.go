package ingress

// This file defines how a stream is bound to the version of the server's software that began it.
// What two versions write does not fit together, and servers do not check it.

import (
	"github.com/cespare/xxhash/v2"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/rules/ruleset"
)

// streamID returns the ID of the attempt that brought the first event of the stream, or would.
func (c *call) streamID() string {
	if c.req.Resumes != "" {
		return c.req.Resumes
	}
	return c.req.ID
}

// bindVersion binds a stream that its caller takes up again to the version that began it. It
// returns the refusal if that version is unknown and several serve.
func (c *call) bindVersion() error {
	if c.route.Kind != ruleset.Stream || !c.route.Resumable {
		return nil
	}
	c.stream = xxhash.Sum64String(c.streamID())
	if c.req.Resumes == "" && c.req.LastEventID == "" {
		return nil
	}
	begun := c.stream
	if c.req.Resumes == "" {
		begun = 0 // the caller does not name the attempt that began the stream
	}
	record, known := c.h.Placer.StreamVersion(c.ctx, c.service, begun, c.h.Membership.Fresh())
	if !known {
		c.h.Meters.StreamTakenUp(c.ctx, c.service, metrics.VersionUnknown)
		return fault.New(fault.StreamVersionUnknown, c.streamID(), "several versions of the service have served lately, and it is not known which of them began the stream")
	}
	c.version, c.beginUnknown = record.Version, !record.Begun
	c.h.Meters.StreamTakenUp(c.ctx, c.service, metrics.VersionKnown)
	return nil
}

// countUnplaced counts a stream that cannot go on as no server of its version takes it.
func (c *call) countUnplaced(err error) {
	if c.version != "" && fault.KindOf(err) == fault.NoEngine {
		c.h.Meters.StreamTakenUp(c.ctx, c.service, metrics.VersionGone)
	}
}
