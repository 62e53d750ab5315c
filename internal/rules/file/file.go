// Package file defines the parsed rule file: what operators have asked for.
package file

// This file defines File and the rules it holds.

import (
	"time"
)

// The priority classes, most urgent first.
const (
	Urgent = iota
	Normal
	Batch
	Classes
)

const (
	// DefaultBound is the multiple of the mean load that an engine may carry.
	DefaultBound = 1.25
	// DefaultRetention is how long a request key keeps its outcome.
	DefaultRetention = 24 * time.Hour
	// DefaultRetryPercent is the share of requests that may be retried.
	DefaultRetryPercent = 10
	// DefaultMoveBytes is the KV cache moved off a leaving engine.
	DefaultMoveBytes = 64 << 20
)

// File is one version of the rules. A *File is never changed once parsed.
type File struct {
	Services map[string]Service
	Accounts map[string]Account
	// TotalShare is the sum of the shares of all accounts.
	TotalShare int
	// Kinds maps a kind of work to its priority class.
	Kinds map[string]int
	// Routes hold where requests go, by host and path; see Match.
	Routes []Route
	// KeyHolders maps the digest of a key to the account that holds it.
	KeyHolders map[string]string
	// Ingress bounds what a caller may send.
	Ingress Ingress
	// Authors names who asked, by line number.
	Authors map[int]string
}

// Service holds the rules of one service.
type Service struct {
	Name string
	// Plain is true for a plain service, false for model engines.
	Plain bool
	// Bound is the multiple of the mean load an engine may carry.
	Bound float64
	// NonIdempotent holds the calls that may not be repeated.
	NonIdempotent map[string]bool
	// Retention is how long the outcome of a request key is kept.
	Retention time.Duration
	// RetryPercent is the share of requests that may be retried, in percent.
	RetryPercent int
	// MoveBytes is the KV cache that may be moved off one leaving engine.
	MoveBytes int64
	// SpillMoves is true when a spilled chat takes its cache along.
	SpillMoves bool
	// Health is the path that answers 200 while a backend server is well.
	Health string
	// Connections is the most connections that a backend server accepts from
	// all instances together; zero is no limit.
	Connections int
	// Slots and CacheTokens describe an engine where the platform's list does
	// not: requests run at once, and tokens held in memory.
	Slots       int
	CacheTokens int
	// Fetches is true when an engine can read a prefix from another engine that
	// keeps it.
	Fetches bool
	// CheckedFence is true when the engines refuse old fencing numbers.
	CheckedFence bool
}

// Account holds the rules of one client account.
type Account struct {
	Name string
	// Share weighs the account against others at a busy engine.
	Share int
	// Limit is the most requests in flight in a service; zero is no limit.
	Limit int
	// Priority goes before the priority of a route; see HasPriority.
	Priority    int
	HasPriority bool
}

// FairSlots returns an account's fair part of a server's slots, at least one.
func (f *File) FairSlots(a Account, slots int) int {
	return max(1, slots*a.Share/max(f.TotalShare, 1))
}

// Class returns the priority class of a kind of work.
func (f *File) Class(kind string) (int, bool) {
	if kind == "" {
		return Normal, true
	}
	c, ok := f.Kinds[kind]
	return c, ok
}
