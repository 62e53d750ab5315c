package scheduler

// This file defines what a Scheduler takes and returns: settings, servers, requests,
// reports and decisions.

import (
	"time"

	"camphorspoke/internal/routing/brittle"
	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/serverlimit"
)

// Service holds the settings of a service.
type Service struct {
	Name string
	// Engine is true when the servers are model engines, whose cost is in prompt tokens.
	Engine bool
	// Slots is the number of requests that run at a time on a server that lists no
	// slots itself; zero is unlimited. CacheTokens is the cache memory of each engine, which
	// requests in progress hold too; zero is unlimited for these.
	Slots       int
	CacheTokens int
	// FetchesPrefixes is true when an engine can fetch a cached prefix from another one.
	FetchesPrefixes bool
	// LoadBound limits the load of a server, as a multiple of the mean load.
	LoadBound float64
	// RetryWindow, RetryRatio and RetrySlack are the retry budget; see retrybudget.
	// AloneRetrySlack takes the place of RetrySlack for requests that an instance decides
	// on alone, as every instance may do so at the same time.
	RetryWindow     time.Duration
	RetryRatio      float64
	RetrySlack      float64
	AloneRetrySlack float64
	// ColdTime is for how long a server is cold after a start; zero if servers never are.
	// ColdRate and AloneColdRate are how many requests a second a cold server gets from
	// this instance: when it decides for all instances, and for its own requests only.
	ColdTime      time.Duration
	ColdRate      float64
	AloneColdRate float64
	// LimitShare and AloneLimitShare are the shares of this instance of what a server that
	// names a limit takes: when it decides for all instances, and for its own requests only.
	LimitShare      serverlimit.Share
	AloneLimitShare serverlimit.Share
	// Instances is the number of instances that may decide; zero counts as one.
	Instances int
	// HedgeShare is the largest share of the requests in RetryWindow that get a hedge.
	HedgeShare float64
}

// Server is an entry of the list of backend servers.
type Server struct {
	Name string
	// Slots is the number of requests that run at a time; if zero, Service.Slots applies.
	Slots int
	// Accepting is false for a server that takes no new work.
	Accepting bool
	// Evacuated is true while the failure domain of the server is evacuated. Accepting is
	// then false.
	Evacuated bool
	// FailureDomain is the failure domain of the server. A server that is not an
	// engine is preferred for requests from its domain; an engine fetches prefixes
	// preferably from engines in its domain.
	FailureDomain string
	// Leaving is true while the platform's list shows the server as leaving. Address and
	// JoinedMs identify its incarnation.
	Leaving  bool
	Address  string
	JoinedMs int64
	// ColdFor is for how long the list announces the server to stay cold. Another ColdIndex
	// is another announcement.
	ColdFor   time.Duration
	ColdIndex uint64
	// Version is the version of the server's software; empty if it is unknown.
	Version string
}

// Request describes a request that needs a slot on a server.
type Request struct {
	ID uint64
	// Account is the client account.
	Account string
	// Parts is the prompt; empty for a request without one.
	Parts []prefixcache.Part
	// Fingerprint identifies what the request asks for: its repeats have the same one, and
	// another ID. It is zero if unknown.
	Fingerprint uint64
	// PromptTokens is the length of the whole prompt, which may be more than the sum of its
	// parts; zero if unknown.
	PromptTokens int
	// MaxOutputTokens is the maximum number of tokens that the request generates.
	MaxOutputTokens int
	// Urgency orders queued requests; 0 is the most urgent.
	Urgency int
	// surging is true if the account sends far more than it usually does. Such requests are
	// queued behind the others of their urgency.
	surging bool
	// MaxWait is the longest time for which the request may be queued.
	MaxWait time.Duration
	// Tried names the servers that have failed this request; they are not chosen again.
	Tried []string
	// ExcludedDomains names the failure domains that the instance has as evacuated. No
	// server in them is chosen.
	ExcludedDomains []string
	// Version is the version of the software that a server must have to be chosen; empty for
	// any. A stream that has begun goes on at that version only.
	Version string
	// Retry is true for a retry, which counts against the retry budget.
	Retry bool
	// Hedge is true for a copy of a request that is still in progress at the tried servers.
	// It is granted or refused at once, and counts as a retry.
	Hedge bool
	// Counted is true if another decision on the request has counted it as one of the
	// requests of the service: that decision was not used, or its server was not reached.
	Counted bool
	// Alone is true if the instance decides for its own requests only.
	Alone bool
	// MayTry is true if the request may be the trial of a quarantined part. It is set
	// where one scheduler decides for all instances, so that there is one trial at a time.
	MayTry bool
	// Brittle is true if the instance that received the request knows that the servers are brittle.
	Brittle bool
	// Instance is the instance that received the request, and FailureDomain its failure
	// domain.
	Instance      string
	FailureDomain string
}

// The reasons for a refusal.
const (
	NoServer = "noServer"
	// VersionUnknown means that servers of the version that a request is bound to may have started
	// anew with another one.
	VersionUnknown = "versionUnknown"
	// NoVersion means that servers are listed, but none of the version that a request is bound to.
	NoVersion   = "noVersion"
	Overloaded  = "overloaded"
	RetryBudget = "retryBudget"
	// Hedge means that no hedge is sent: the budget is spent, the service is loaded, or no
	// other server is suited.
	Hedge = "hedge"
	// Quarantined means that parts of the prompt crash the servers that answer them.
	Quarantined = "quarantined"
	// RequestQuarantined means that the request crashes the servers that run it, and
	// RequestSuspected that the last two servers which ran it have crashed.
	RequestQuarantined = "requestQuarantined"
	RequestSuspected   = "requestSuspected"
)

// Decision grants a request a server or refuses it.
type Decision struct {
	ID uint64
	// Server is empty when the request is refused.
	Server  string
	Refusal string
	// Quarantine is the ID of the quarantine because of which the request is refused.
	Quarantine uint64
	// RetryAfter is the expected time until there is room; zero when unknown.
	RetryAfter time.Duration
	// CachedTokens is the length in tokens of the prompt's prefix that the server is
	// expected to have cached. Load is its number of requests, this one included.
	CachedTokens int
	Load         int
	// LoadLimit is the limit on Load that applied to the choice, and MeanServers the
	// number of servers over which its mean was taken. OverLimit is true if the request
	// was granted although no server within the limit had room.
	LoadLimit   float64
	MeanServers int
	OverLimit   bool
	// BestCachedTokens is the largest such length on any accepting server.
	BestCachedTokens int
	// FetchFrom is the server from which the granted one should fetch the cached
	// prefix; empty when no server has enough more of it cached. FetchedTokens is the
	// length of that prefix.
	FetchFrom     string
	FetchedTokens int
	// PromptTokens is the length of the prompt. Reuse states what happens to its cached
	// prefix, and RereadTokens how many tokens of it the server reads although
	// another one has them.
	PromptTokens int
	Reuse        string
	RereadTokens int
	// Limit is what the server has stated of its limit, as far as the scheduler has received it.
	Limit serverlimit.Statement
	// ListedVersion is the version of the server in the list; empty if the list states none, or from a decider
	// of an older build. VersionUnknown is true if the server may have started anew since.
	ListedVersion  string
	VersionUnknown bool
	// ServedAgo is how long ago, at least, the latest connection was opened on which the server has answered
	// without announcing that it leaves; zero if unknown.
	ServedAgo time.Duration
}

// incarnationListing returns what identifies the incarnation of the server.
func (l Server) incarnationListing() incarnation.Listing {
	return incarnation.Listing{
		Address:  l.Address,
		JoinedMs: l.JoinedMs,
		Leaving:  l.Leaving,
	}
}

// Event is the kind of event that a Report gives for a granted request.
type Event int

const (
	// Started means that the server has begun its response.
	Started Event = iota + 1
	// Done means that the response is complete.
	Done
	// Rejected means that the server responded that it did not run the request.
	Rejected
	// Broken means that the connection broke or the response was invalid, so that the
	// request may have run.
	Broken
	// Unreachable means that the request could not be sent.
	Unreachable
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
	// Failed means that the server responded with an error of its own.
	Failed
	// Down means that the server broke the connection and accepts no other.
	Down
)

// Report reports an event of a granted request.
type Report struct {
	Event Event
	// HasLoad is true when the server reported its load: the requests that run there
	// and those that are queued there.
	HasLoad bool
	Running int
	Waiting int
	// WorkPercent is how long work takes on the server at this moment, in percent of the
	// usual time; zero if the server did not state it.
	WorkPercent int
	// Elapsed is the time since the request was sent.
	Elapsed time.Duration
	// Answered is true if the caller has a part of the answer.
	Answered bool
	// RetryAfter is for how long the server has asked the instance that reports to send
	// it nothing; zero if it has not.
	RetryAfter time.Duration
	// Leaving is true if the server announced that it leaves. LeavingAt is when this was received; if zero,
	// when it was reported.
	Leaving   bool
	LeavingAt time.Duration
	// Opened is when the connection was opened on which the server has run the request and has not
	// announced that it leaves; zero if unknown.
	Opened time.Duration
	// JoinedMs is the time of joining of the server as the instance has it that reports; zero if unknown.
	JoinedMs int64
	// ColdFor is for how long the server announced to stay cold; zero if it did not.
	ColdFor time.Duration
	// Limit is what the response says of the limit of its server.
	Limit serverlimit.Statement
	// Brittle is what the response says of whether its server falls over if it refuses too much.
	Brittle brittle.Statement
	// OtherServer is true for an Unreachable server at whose address another one answered.
	OtherServer bool
	// HedgeWon is true if the request is a hedge whose response answers it, while the server
	// that it was sent to before had not begun any.
	HedgeWon bool
}
