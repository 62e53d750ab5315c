// Package retry limits retries, so that they never multiply a surge.
package retry

// This file defines Budget.

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burst is the most retries saved up by one account at one service.
	burst = 10
	// maxRows bounds the table; idle rows are full and can be dropped.
	maxRows = 100_000

	backoffFirst = 10 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
)

// Budget lets a share of the requests of an account at a service be retried.
// Each request earns a part of a retry and each retry spends one. The zero
// value works.
type Budget struct {
	mu   sync.Mutex
	rows map[key]float64
}

type key struct {
	account, service string
}

// Earn notes a request; percent is the share that may be retried.
func (b *Budget) Earn(account, service string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = make(map[key]float64)
	}
	k := key{
		account: account,
		service: service,
	}
	have, ok := b.rows[k]
	if !ok {
		if len(b.rows) >= maxRows {
			clear(b.rows)
		}
		have = burst / 2
	}
	b.rows[k] = min(burst, have+float64(percent)/100)
}

// Spend takes one retry; false when none is left.
func (b *Budget) Spend(account, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key{
		account: account,
		service: service,
	}
	if b.rows[k] < 1 {
		return false
	}
	b.rows[k]--
	return true
}

// Backoff returns a jittered wait before the given retry, counted from 0.
func Backoff(attempt int) time.Duration {
	d := min(backoffFirst<<min(attempt, 10), backoffMax)
	return d/2 + rand.N(d/2+1)
}
