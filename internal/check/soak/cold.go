package soak

// This file defines backend servers that are cold after a start.

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"camphorspoke/platform/wireformat"
)

const (
	// coldTime and coldPerSecond are the settings of each service.
	coldTime      = 3 * time.Second
	coldPerSecond = 14
	// minRestart is the least time for which a server that restarts refuses connections.
	minRestart = 300 * time.Millisecond
	// coldOverage and coldSlack give the most requests that a cold server may get in a second.
	coldOverage = 1.5
	coldSlack   = 5
)

// coldPeriod is the time in which a backend server is cold. The zero value is over.
type coldPeriod struct {
	mu    sync.Mutex
	until time.Time
}

// begin begins a period.
func (c *coldPeriod) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = now.Add(coldTime)
}

// left returns how much of the period is left, zero if it is over.
func (c *coldPeriod) left(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.until.Sub(now), 0)
}

// restartKind is the kind of fault in which a backend server restarts.
var restartKind = faultKind{name: "restartRunner", inject: (*injector).restart}

// announceCold records the arrival of a request that counts if the server is cold, and
// announces how long it stays so.
func (b *backend) announceCold(w http.ResponseWriter, id string, now time.Time) {
	left := b.cold.left(now)
	if left == 0 {
		return
	}
	b.checker.ColdArrival(id, b.id(), now, coldPerSecond*coldOverage+coldSlack)
	w.Header().Set(wireformat.ColdHeader, strconv.FormatInt(left.Milliseconds(), 10))
}

// restart breaks the connections of a backend server, which refuses others for a while and
// is cold afterwards.
func (f *injector) restart() error {
	b := f.randomBackend()
	if !b.replaced.CompareAndSwap(false, true) {
		return nil // another injector is replacing or restarting it
	}
	defer b.replaced.Store(false)
	if !b.down.CompareAndSwap(false, true) {
		return nil // a request has crashed it
	}
	err := b.proxy.refuse(minRestart + f.randomDuration(time.Second))
	b.down.Store(false)
	if err != nil {
		return err
	}
	b.cold.begin(time.Now())
	go b.proxy.serve()
	time.Sleep(coldTime)
	return nil
}
