// Package ruleset defines the content of a parsed rule file: the services, client
// accounts, routes and limits that operators have configured.
package ruleset

// This file defines Rules, Service and Account.

import (
	"time"
)

// The priority classes, most urgent first.
const (
	Urgent = iota
	Normal
	Batch
	// NumClasses is the number of priority classes.
	NumClasses
)

const (
	// DefaultLoadBound limits the load of one engine, as a multiple of the mean load.
	DefaultLoadBound = 1.25
	// DefaultRetention is how long the outcome of a request key is kept.
	DefaultRetention = 24 * time.Hour
	// DefaultRetryPercent is the percentage of requests that may be retried.
	DefaultRetryPercent = 10
	// DefaultMaxMoveBytes is how much KV cache may be transferred off one leaving
	// engine.
	DefaultMaxMoveBytes = 64 << 20
	// MaxColdTime is the largest value of Service.ColdTime.
	MaxColdTime = 10 * time.Minute
	// MaxColdRate is the largest value of Service.ColdRate, in requests per second.
	MaxColdRate = 1e6
	// NoAccount is the name, and the only key, in the account rule of a file that lists no
	// accounts although callers need a key. Builds without Rules.RequiresKeys need a key as well
	// if they read it: for them it is an account whose key no caller can have.
	NoAccount = "-"
)

// Rules is one version of the rules. It is immutable once parsed.
type Rules struct {
	Services map[string]Service
	Accounts map[string]Account
	// RequiresKeys is true if callers need the key of an account on routes that are not public.
	// It may be true without any account; every key is then refused.
	RequiresKeys bool
	// TotalShare is the sum of the shares of all accounts.
	TotalShare int
	// Kinds maps the name of a kind of work to its priority class.
	Kinds map[string]int
	// Routes maps hosts and path prefixes to services; see Match.
	Routes []Route
	// AccountByKeyDigest maps the digest of a caller's key to the account that the key
	// belongs to; see KeyDigest.
	AccountByKeyDigest map[string]string
	// Ingress limits the requests that callers may send.
	Ingress Ingress
	// Authors holds the person or team that requested each rule, by line number.
	Authors map[int]string
}

// Service holds the rules of one service.
type Service struct {
	Name string
	// Plain is true for a plain service and false for a service of model engines.
	Plain bool
	// LoadBound limits the load of one engine, as a multiple of the mean load.
	LoadBound float64
	// NonIdempotent is the set of calls that must not be retried once they may have
	// run.
	NonIdempotent map[string]bool
	// Retention is how long the outcome of a request key is kept.
	Retention time.Duration
	// RetryPercent is the percentage of requests that may be retried.
	RetryPercent int
	// HedgePercent is the percentage of requests that may be hedged: sent to a second
	// server as well while the first one does not respond. HasHedge is true when the rule
	// sets it.
	HedgePercent int
	HasHedge     bool
	// MaxMoveBytes is how much KV cache may be transferred off one leaving engine.
	MaxMoveBytes int64
	// MovesCacheOnSpill is true when the KV cache of a chat is copied along with the chat
	// if that is placed on another engine for lack of capacity.
	MovesCacheOnSpill bool
	// HealthPath is the path of the health check, which returns 200 while a backend
	// server is healthy.
	HealthPath string
	// MaxConnections is the most connections that a backend server accepts from all
	// instances together; zero means no limit.
	MaxConnections int
	// Slots and CacheTokens describe an engine for which the platform's list has no
	// values: how many requests run at once, and how many tokens its prefix cache
	// holds.
	Slots       int
	CacheTokens int
	// FetchesPrefixes is true when an engine can fetch a cached prefix from another engine.
	FetchesPrefixes bool
	// ChecksFencing is true when the engines reject outdated fencing numbers.
	ChecksFencing bool
	// ColdTime is for how long a server is cold after a start, and ColdRate how many
	// requests a second a cold server can take. If either is zero, no server is cold.
	ColdTime time.Duration
	ColdRate float64
}

// Account holds the rules of one client account.
type Account struct {
	Name string
	// Share is the weight of the account relative to others at a busy engine.
	Share int
	// MaxInFlight is the most requests in flight at a service; zero means no limit.
	MaxInFlight int
	// Priority ranks the account's requests, zero first. It takes precedence over the
	// priority of the route. HasPriority is true when the rule sets it.
	Priority    int
	HasPriority bool
}

// HedgeShare returns the share of the requests of the service that may be hedged, from 0 to
// 1. defaultPercent applies if the rule sets none.
func (s Service) HedgeShare(defaultPercent int) float64 {
	percent := s.HedgePercent
	if !s.HasHedge {
		percent = defaultPercent
	}
	return float64(percent) / 100
}

// FairSlots returns an account's fair share of a server's slots, at least one.
func (rs *Rules) FairSlots(a Account, slots int) int {
	return max(1, slots*a.Share/max(rs.TotalShare, 1))
}

// LongestResumable returns the longest timeout of a route whose streams may be taken up again, zero if
// there is none.
func (rs *Rules) LongestResumable() time.Duration {
	var longest time.Duration
	for _, r := range rs.Routes {
		if r.Kind == Stream && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Class returns the priority class of a kind of work, Normal for the empty kind. It
// returns false for an unknown kind.
func (rs *Rules) Class(kind string) (int, bool) {
	if kind == "" {
		return Normal, true
	}
	c, ok := rs.Kinds[kind]
	return c, ok
}
