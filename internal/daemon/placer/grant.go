package placer

// This file defines Grant, and how the outcome of its request is reported.

import (
	"time"

	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/streamversion"
)

// Grant is the permission to send one request to a backend server.
type Grant struct {
	scheduler.Decision
	Address string
	// Version is the version of the server's software; empty if the platform states none.
	Version string
	// VersionUnknown is true if the server may have started anew since the list showed Version; see
	// RecordEvent.
	VersionUnknown bool
	// Stream identifies the stream of the request, if its caller may take it up again; zero for
	// other requests. It is recorded by RecordEvent. BeginUnknown is true for a stream that goes on at
	// a version of which it is not known that it has begun the stream.
	Stream       uint64
	BeginUnknown bool
	// FetchAddress is the engine from which the chosen server should fetch the cached
	// prefix that it lacks; empty if no engine has more of the prompt cached.
	FetchAddress string
	// Decider is the instance that made the choice. Alone is true if it is this instance
	// and it decided for its own requests only.
	Decider string
	Alone   bool
	// Waited is how long the request waited for the decision.
	Waited time.Duration
	// Withdrawn is the number of decisions before this one whose server had asked this
	// instance for a pause, announced that it leaves or was evacuated, or for which the
	// decider had not received a limit. WithdrawnForLimit is the number of the latter.
	Withdrawn         int
	WithdrawnForLimit int

	p       *Placer
	service string
	// fingerprint is that of the request, and sentAt when the choice was made.
	fingerprint uint64
	sentAt      time.Duration
	// hasPrompt is true if the request has a prompt, whose reading the schedulers
	// account for.
	hasPrompt bool
	// joinedMs is the time of joining of the server, as in the view of this instance.
	joinedMs int64
	// localID identifies the request at the instance's own schedulers, remoteID at
	// the decider at the other end of stream. A zero localID or a nil stream means
	// that the request is not registered there.
	localID  uint64
	remoteID uint64
	stream   *clientStream
	// recorded is what was recorded of the stream of the request.
	recorded streamversion.Record
}

// Report passes the progress or the outcome of the request to the schedulers that
// account for it.
func (g *Grant) Report(r scheduler.Report) {
	if r.Leaving && r.LeavingAt == 0 {
		// It has not arrived before its request was sent.
		r.LeavingAt = max(g.p.schedulers.receivedAt(), g.sentAt)
	}
	r.JoinedMs = g.joinedMs
	if r.Event == scheduler.Started && !g.versionMatters() && !r.HasLoad && !g.hasPrompt && r.RetryAfter == 0 && !r.Leaving && r.ColdFor == 0 && !g.changesLimit(r) {
		// The start of such a request changes nothing that the schedulers know.
		return
	}
	if g.localID != 0 {
		g.p.schedulers.report(g.service, g.localID, r)
	}
	if g.stream != nil {
		g.stream.report(g.p.cfg.Now(), g.remoteID, r, begunStream{})
	}
	if r.Event == scheduler.Down {
		g.noteCrash(r.Answered)
	}
}

// versionMatters reports whether the schedulers have to know that the server has begun its response, so that
// its version stays known if it refuses another connection meanwhile.
func (g *Grant) versionMatters() bool { return g.Stream != 0 && g.Version != "" }

// begunStream is a stream with the record of the version that has begun it; the zero value is none.
type begunStream struct {
	stream uint64
	record streamversion.Record
}

// changesLimit reports whether a report names a limit of the server, or states that there is
// none while the decider or this instance knows of one.
func (g *Grant) changesLimit(r scheduler.Report) bool {
	switch {
	case !r.Limit.Known:
		return false
	case r.Limit.Named || g.Limit.Named:
		return true
	default:
		return g.p.schedulers.limit(g.service, g.Server).Named
	}
}
