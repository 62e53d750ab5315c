package server

// This file defines the limits of clients' connections at each address.

import (
	"context"
	"sync"
	"time"

	"camphorspoke/internal/edge/connguard"
	"camphorspoke/internal/routing/connlimit"
)

// frontName is the name of the callers' address in metrics and the log.
const frontName = "front"

const (
	// frontDescriptorShare and otherDescriptorShare are the fractions of the limit of
	// descriptors that the connections at the callers' address and at each other address may
	// take. The rest is for the control group, the other instances and the backend servers.
	frontDescriptorShare = 0.5
	otherDescriptorShare = 0.04
	// frontConnectionShare and otherConnectionShare are the fractions of the memory limit for
	// connections, frontHeldShare and otherHeldShare those for costly heads, and for the
	// bodies of other calls than the callers'.
	frontConnectionShare = 0.2
	otherConnectionShare = 0.03
	frontHeldShare       = 0.1
	otherHeldShare       = 0.04
	// minConnections is the smallest number of connections that an address accepts.
	minConnections = 16
	// closedLogInterval is the time between two log lines on closed connections of one
	// address.
	closedLogInterval = 5 * time.Second
)

// newGuard returns the guard of the address with the given name.
func (e *entry) newGuard(name string) *connguard.Guard {
	descriptors, connections, held := otherDescriptorShare, otherConnectionShare, otherHeldShare
	if name == frontName {
		descriptors, connections, held = frontDescriptorShare, frontConnectionShare, frontHeldShare
	}
	in := e.instance
	g := &connguard.Guard{
		Limits:      e.connectionLimits,
		CountBodies: name != frontName,
		Now:         in.now,
		OnClose:     (&closeLog{entry: e, address: name}).record,
		Budget: connlimit.Budget{
			Connections: maxConnections(int(descriptors*float64(in.cfg.Entry.FileDescriptors)), in.memoryBytes(connections)),
			HeldBytes:   in.memoryBytes(held),
		},
	}
	e.guardsMu.Lock()
	defer e.guardsMu.Unlock()
	if e.guards == nil {
		e.guards = make(map[string]*connguard.Guard)
	}
	e.guards[name] = g
	return g
}

// maxConnections returns how many connections fit into a number of descriptors and of bytes,
// of which zero means no limit.
func maxConnections(descriptors, bytes int) int {
	byMemory := bytes / connguard.ConnectionBytes
	switch {
	case descriptors == 0 && bytes == 0:
		return 0
	case descriptors == 0:
		return max(byMemory, minConnections)
	case bytes == 0:
		return max(descriptors, minConnections)
	}
	return max(min(descriptors, byMemory), minConnections)
}

// connectionLimits returns the limits of a connection by the rules in force.
func (e *entry) connectionLimits() connguard.Limits {
	v := e.instance.agent.View()
	if v == nil || v.Rules == nil {
		return connguard.LimitsFor(0, 0, 0)
	}
	i := v.Rules.Ingress
	return connguard.LimitsFor(i.HeaderBytes, i.HeaderTime, i.IdleTime)
}

// connectionCounts returns the number of open connections by address.
func (e *entry) connectionCounts() map[string]int {
	e.guardsMu.Lock()
	defer e.guardsMu.Unlock()
	out := make(map[string]int)
	for name, g := range e.guards {
		out[name] = g.Open()
	}
	return out
}

// closeLog counts the connections that limits close at one address, and logs them at
// intervals.
type closeLog struct {
	entry   *entry
	address string

	mu       sync.Mutex
	nextLine time.Duration
	byReason map[string]int
}

func (l *closeLog) record(reason string) {
	l.entry.meters.ConnectionClosed(context.Background(), reason)
	now := l.entry.instance.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byReason == nil {
		l.byReason = make(map[string]int)
	}
	l.byReason[reason]++
	if now < l.nextLine {
		return
	}
	l.nextLine = now + closedLogInterval
	line := l.entry.instance.log.WithField("address", l.address)
	for reason, n := range l.byReason {
		line = line.WithField(reason, n)
	}
	line.Warn("daemon: closed connections of clients at a limit")
	l.byReason = nil
}
