package scheduler

// This file defines the state of one server and the completion rate of a service.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"camphorspoke/internal/routing/brittle"
	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/pushback"
	"camphorspoke/internal/routing/ratelimit"
	"camphorspoke/internal/routing/speed"
	"camphorspoke/internal/routing/tokenmemory"
)

const (
	// minEjection and maxEjection bound how long a failed server is ejected, that
	// is, excluded from placement while others are healthy. The time doubles with
	// each ejection until a request succeeds.
	minEjection = 400 * time.Millisecond
	maxEjection = 6 * time.Second
	// minProbeInterval is the least time between two requests to a server that could not
	// be reached, while no other server has room within the load limit. The time is at
	// least probePause times as long as the last failure took, so that few requests wait
	// for a connection that is not refused, but times out.
	minProbeInterval = 100 * time.Millisecond
	probePause       = 10
	// probeTimeout is how long a request without a response keeps an ejected server from
	// getting another one. It is longer than the attempt to connect to a server that is down:
	// one that has the request and does not respond may have lost this response only.
	probeTimeout = 500 * time.Millisecond
	// breaksToEject is the number of consecutive Broken requests that ejects a server that
	// has no response in progress; a single Unreachable one does so at once.
	breaksToEject = 2
	// answersToReplace is the number of answers of another server in a row after which a
	// server counts as replaced at its address: a single one may be an error of the server.
	// replacedPause is for how long it then gets no request, about as long as the list lags
	// that names the new server.
	answersToReplace = 3
	replacedPause    = 2 * time.Second
	// failureWeight is the weight of the latest outcome in the moving average of the
	// failure rate. Without new outcomes the rate halves every failureHalfLife, so
	// that a server that got too expensive to be chosen is tried again.
	failureWeight   = 0.1
	failureHalfLife = time.Second
	// failurePenalty scales the failure rate in costFactor: a server that fails every
	// request costs 1+failurePenalty times as much as one that fails none.
	failurePenalty = 8
	// reportedLoadTTL is how long the requests count that a server reported beyond those
	// granted here, and endedLoadTTL how long those are left out that it did not report.
	// The latter stay counted as granted until their callers leave, so they are left out
	// until the server has not reported for long.
	reportedLoadTTL = 300 * time.Millisecond
	endedLoadTTL    = time.Second
	// transitTime is how long after its grant a request may not have reached its server.
	transitTime = 50 * time.Millisecond
	// rejectionBackoff is how long a server counts as full after it rejected a request.
	rejectionBackoff = 60 * time.Millisecond
	// unlimitedSlots applies when neither the server nor the service has a slot count.
	unlimitedSlots = 1 << 20
	// completionWindow is the number of completions over which the rate is measured.
	completionWindow = 32
)

type server struct {
	name   string
	domain string
	slots  int
	// listedSlots is the slot count from the server list; zero when it has none.
	listedSlots int
	// version is the version of the server's software.
	version   string
	accepting bool
	// listed is true while the server is listed, and entry is what the list has shown last.
	listed bool
	entry  Server
	// doubt holds whether version may be that of an earlier incarnation.
	doubt versionDoubt
	// incarnation holds what is known of the incarnation that this record is of.
	incarnation incarnation.State
	// candidateRound is the last round in which the server became a candidate.
	candidateRound uint64
	// running is the number of granted requests that have not ended.
	running int
	// pendingTokens are the tokens that await prefill, of requests granted here whose
	// start was not reported yet.
	pendingTokens int
	// cache models the prefixes that the server has cached, those included that it
	// is still reading. reading holds the parts of the latter, each with the request
	// whose prompt is being read.
	cache   prefixcache.Cache
	reading map[uint64]uint64

	// loadCorrection is by how much the load that the server reported last, at
	// loadReportedAt, differed from the granted requests: it is above zero if the
	// server also held requests that were not granted here, and below zero if some
	// requests had ended there of which no end was reported.
	loadReportedAt time.Duration
	loadCorrection int
	// reportsLoad is true once the server has reported its load.
	reportsLoad bool
	// unstarted holds the granted requests whose response has not begun, the earliest
	// grant first.
	unstarted []*grant

	consecutiveBreaks int
	// ejections counts the ejections since the last request that succeeded.
	ejections    int
	ejectedUntil time.Duration
	// unresponsive is true from an ejection until the server responds.
	unresponsive bool
	// probeAt is the earliest time at which the server is probed; see mayProbe.
	probeAt time.Duration
	// otherAnswers counts the answers of another server at its address since the last response
	// of its own; see answersToReplace.
	otherAnswers int
	// replacedUntil is the time until which a replaced server gets no request.
	replacedUntil time.Duration
	// pauses holds the instances that the server has asked to send it nothing.
	pauses pushback.Tracker
	// memory counts the tokens that granted requests hold.
	memory tokenmemory.Memory
	// speed estimates how long work takes on the server.
	speed speed.Estimator
	// fullUntil is the time until which a server that rejected a request gets no other.
	fullUntil time.Duration
	// lastFailureRate is the failure rate as of lastOutcomeAt.
	lastFailureRate float64
	lastOutcomeAt   time.Duration
	// grants holds the times of the latest grants.
	grants ratelimit.Limiter
	// cold holds whether the server has started recently.
	cold coldness
	// serverLimit is what the server has said of its limit.
	serverLimit limitState
	// window is how many requests the server gets at a time while it is brittle.
	window brittle.Window
}

func newServer(name string) *server {
	return &server{
		name: name,
	}
}

// applyEntry takes over what the list shows of the server.
func (sv *server) applyEntry(l Server) {
	sv.listed, sv.entry = true, l
	sv.domain, sv.listedSlots, sv.version = l.FailureDomain, l.Slots, l.Version
}

func (sv *server) setService(svc Service) {
	sv.slots = svc.Slots
	if sv.listedSlots > 0 {
		sv.slots = sv.listedSlots
	}
	if sv.slots == 0 {
		sv.slots = unlimitedSlots
	}
	sv.cache.Capacity = int(prefixCacheFraction * float64(svc.CacheTokens))
}

// load returns the number of requests on the server: the granted ones, corrected by the
// load that the server reported recently.
func (sv *server) load(now time.Duration) int {
	ttl := reportedLoadTTL
	if sv.loadCorrection < 0 {
		ttl = endedLoadTTL
	}
	if !sv.reportsLoad || now-sv.loadReportedAt >= ttl {
		return sv.running
	}
	return max(sv.running+sv.loadCorrection, 0)
}

// knownLoad returns the number of requests that are known to be on the server. While it
// has not reported its load for long, those are left out whose response should have
// begun: their responses may be lost.
func (sv *server) knownLoad(now time.Duration) int {
	load := sv.load(now)
	if !sv.reportsLoad || now-sv.loadReportedAt < reportedLoadTTL {
		return load
	}
	return min(load, sv.running-sv.unstartedBefore(now-reportedLoadTTL))
}

// unstartedBefore returns the number of unstarted requests that were granted before a
// time.
func (sv *server) unstartedBefore(t time.Duration) int {
	n, _ := slices.BinarySearchFunc(sv.unstarted, t, func(g *grant, t time.Duration) int { return cmp.Compare(g.grantedAt, t) })
	return n
}

// recordGrant counts a granted request.
func (sv *server) recordGrant(g *grant) {
	sv.running++
	sv.unstarted = append(sv.unstarted, g)
}

// recordStart removes a request from the unstarted ones, because its response has begun
// or it has ended.
func (sv *server) recordStart(g *grant) {
	if i := slices.Index(sv.unstarted, g); i >= 0 {
		sv.unstarted = slices.Delete(sv.unstarted, i, i+1)
	}
}

// recordReportedLoad compares the load that the server reported, if it did, with the
// granted requests. Those granted within transitTime may or may not have reached the
// server.
func (sv *server) recordReportedLoad(now time.Duration, r Report) {
	if !r.HasLoad {
		return
	}
	reported := r.Running + r.Waiting
	recent := len(sv.unstarted) - sv.unstartedBefore(now-transitTime)
	arrived := sv.running - recent
	sv.reportsLoad, sv.loadReportedAt = true, now
	sv.loadCorrection = max(reported-sv.running, 0) + min(reported-arrived, 0)
}

func (sv *server) eligible(now time.Duration, req Request) bool {
	return sv.mayRun(req) && now >= sv.fullUntil && now >= sv.replacedUntil && sv.pauses.Left(now, req.Instance) == 0 && sv.coldAllows(now, req) && sv.limitAllows(now, req)
}

// responding reports whether the server has responses in progress. A server that is down
// has none: their connections break at the same time.
func (sv *server) responding() bool { return sv.running > len(sv.unstarted) }

// mayProbe reports whether req may be sent to an ejected server, to find out whether it
// responds by now. Requests granted before the last failure may still be running there.
// A request that has failed at a server is not used, as its caller has waited for one
// failure already.
func (sv *server) mayProbe(now time.Duration, req Request) bool {
	return !sv.probed(now) && len(req.Tried) == 0 && now >= sv.probeAt
}

// probed reports whether a request is in flight that was granted after the last failure and
// less than probeTimeout ago.
func (sv *server) probed(now time.Duration) bool {
	return len(sv.unstarted) > sv.unstartedBefore(max(sv.lastOutcomeAt, now-probeTimeout))
}

// ejected reports whether the server is excluded from placement while others are healthy.
// After its time has passed it gets one request at a time, until it responds.
func (sv *server) ejected(now time.Duration) bool {
	return sv.unresponsive && (now < sv.ejectedUntil || sv.probed(now))
}

// failureRate returns the moving average of the fraction of requests that failed,
// decayed for the time since the last outcome.
func (sv *server) failureRate(now time.Duration) float64 {
	if sv.lastFailureRate == 0 {
		return 0
	}
	return sv.lastFailureRate * math.Exp2(-float64(now-sv.lastOutcomeAt)/float64(failureHalfLife))
}

// recordOutcome updates the failure rate with the outcome of a request.
func (sv *server) recordOutcome(now time.Duration, failed bool) {
	rate := sv.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	sv.lastFailureRate, sv.lastOutcomeAt = rate, now
}

// costFactor is multiplied with the cost of placing a request on the server; it is 1
// for a server without failures that is neither cold nor limited.
func (sv *server) costFactor(now time.Duration) float64 {
	return (1 + failurePenalty*sv.failureRate(now)) * sv.pacedFactor(now)
}

// recordResponse ends the ejection of a server that has begun a response to a request
// which was granted after its last failure.
func (sv *server) recordResponse(grantedAt time.Duration) {
	if grantedAt >= sv.lastOutcomeAt {
		sv.unresponsive = false
	}
	sv.otherAnswers = 0
}

// applyReport updates the failure and ejection state from the end of a request. A server
// that has pushed back has not failed.
func (sv *server) applyReport(now time.Duration, r Report, pushedBack bool) {
	switch r.Event {
	case Done:
		sv.unresponsive, sv.otherAnswers = false, 0
		sv.consecutiveBreaks, sv.ejections = 0, 0
		sv.recordOutcome(now, false)
	case Rejected:
		sv.unresponsive, sv.otherAnswers = false, 0
		sv.fullUntil = now + rejectionBackoff
		if !pushedBack {
			sv.recordOutcome(now, true)
		}
	case Failed:
		sv.unresponsive, sv.otherAnswers = false, 0
		sv.consecutiveBreaks = 0
		if !pushedBack {
			sv.recordOutcome(now, true)
		}
	case Broken:
		sv.recordBreak(now)
	case Unreachable:
		sv.recordOutcome(now, true)
		sv.eject(now, max(minProbeInterval, probePause*r.Elapsed))
		if r.OtherServer {
			sv.recordOtherAnswer(now)
		}
	case Down:
		sv.recordOutcome(now, true)
		// All requests that ran there report the same crash.
		if !sv.unresponsive {
			sv.eject(now, minProbeInterval)
		}
	}
}

// recordOtherAnswer counts an answer of another server at the address of this one.
func (sv *server) recordOtherAnswer(now time.Duration) {
	sv.otherAnswers++
	if sv.otherAnswers >= answersToReplace {
		sv.replacedUntil = now + replacedPause
		sv.ejectedUntil = max(sv.ejectedUntil, sv.replacedUntil)
	}
}

// recordBreak counts a request that got no complete response, and ejects the server after
// breaksToEject of them in a row.
func (sv *server) recordBreak(now time.Duration) {
	sv.recordOutcome(now, true)
	sv.consecutiveBreaks++
	if sv.consecutiveBreaks >= breaksToEject && !sv.responding() {
		sv.eject(now, 0)
	}
}

// eject excludes the server from placement, and from probes for probeAfter.
func (sv *server) eject(now, probeAfter time.Duration) {
	sv.ejectedUntil = now + min(minEjection<<min(sv.ejections, 8), maxEjection)
	sv.probeAt = now + probeAfter
	sv.unresponsive = true
	sv.ejections++
	sv.consecutiveBreaks = 0
}

// completionRate measures the rate of completions from the times of the latest ones.
// times is a ring buffer.
type completionRate struct {
	times    [completionWindow]time.Duration
	recorded int
}

func (p *completionRate) record(now time.Duration) {
	p.times[p.recorded%completionWindow] = now
	p.recorded++
}

// meanInterval returns the mean time between two completions; zero before there were two.
func (p *completionRate) meanInterval() time.Duration {
	if p.recorded < 2 {
		return 0
	}
	count := min(p.recorded, completionWindow)
	first := p.times[0]
	if p.recorded > completionWindow {
		first = p.times[p.recorded%completionWindow]
	}
	return (p.times[(p.recorded-1)%completionWindow] - first) / time.Duration(count-1)
}
