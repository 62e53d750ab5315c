// Package retry limits retries to a share of the requests and spaces them out,
// so that retries do not multiply the load when many requests fail.
package retry

// This file defines Budget and Backoff.

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burst is the maximum balance of one account at one service, in retries.
	burst = 10
	// maxBalances is the maximum number of balances. When a new one would exceed
	// it, all balances are dropped, on the assumption that idle accounts have the
	// full balance; each account starts again at half of burst with its next
	// request.
	maxBalances = 100_000

	// backoffFirst and backoffMax are the first and the longest wait before a
	// retry.
	backoffFirst = 10 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
)

// Budget is a retry budget for each client account at each service. Each
// request adds a fraction of a retry to the balance and each retry takes one
// off. The zero value is ready to use.
type Budget struct {
	mu       sync.Mutex
	balances map[key]float64
}

type key struct {
	account, service string
}

// Earn adds a request to the budget; percent is the share of requests that may
// be retried.
func (b *Budget) Earn(account, service string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balances == nil {
		b.balances = make(map[key]float64)
	}
	k := key{
		account: account,
		service: service,
	}
	balance, ok := b.balances[k]
	if !ok {
		if len(b.balances) >= maxBalances {
			clear(b.balances)
		}
		balance = burst / 2
	}
	b.balances[k] = min(burst, balance+float64(percent)/100)
}

// Spend takes one retry from the budget; false if less than one is left.
func (b *Budget) Spend(account, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key{
		account: account,
		service: service,
	}
	if b.balances[k] < 1 {
		return false
	}
	b.balances[k]--
	return true
}

// Backoff returns the wait before the given retry, counted from 0. It grows
// exponentially and has random jitter.
func Backoff(attempt int) time.Duration {
	d := min(backoffFirst<<min(attempt, 10), backoffMax)
	return d/2 + rand.N(d/2+1)
}
