// Package bodymemory limits the memory that the bodies of requests take in one process.
//
// Load pattern: many callers send bodies of the largest allowed size at once. Each is held
// until its request has ended, as it may be sent to another server, so that together they
// exceed the memory of the instance. A request reserves the bytes of its body before they
// are read, waits for a short time if there are none left, and is then refused, which
// proves that it has not run. Small bodies have a part of the memory to themselves, and
// one client account can't take all of the rest.
package bodymemory

// This file defines Budget.

import (
	"context"
	"sync"
	"time"

	"camphorspoke/internal/base/fault"
)

const (
	// SmallBody is the largest body, in bytes, that may use the part reserved for small
	// ones.
	SmallBody = 64 << 10
	// smallShare is the fraction of the budget reserved for small bodies.
	smallShare = 0.25
	// accountShare is the largest fraction of the rest that one client account may use.
	accountShare = 0.5
	// maxWait is how long a request waits for memory.
	maxWait = 300 * time.Millisecond
	// retryAfter is the retry delay given to callers of refused requests.
	retryAfter = 500 * time.Millisecond
)

// Budget is the memory for bodies. The zero value and nil have no limit.
type Budget struct {
	// Bytes is the limit; zero is none.
	Bytes int

	mu        sync.Mutex
	small     int
	large     int
	byAccount map[string]int
	// released is closed, and replaced, when memory becomes free.
	released chan struct{}
}

// Reserve reserves the memory for a body of an account, and returns the function that
// reduces the reservation to a number of bytes; with zero it releases all of it. It waits
// for a short time, then fails with a fault of kind Overloaded.
func (b *Budget) Reserve(ctx context.Context, account string, bytes int) (reduce func(bytes int), err error) {
	if b == nil || b.Bytes == 0 || bytes == 0 {
		return func(int) {}, nil
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		taken, changed := b.tryReserve(account, bytes)
		if taken {
			r := &reservation{
				account: account,
				large:   bytes > SmallBody,
				bytes:   bytes,
			}
			return func(bytes int) { b.reduce(r, bytes) }, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, &fault.Fault{
				Kind:       fault.Overloaded,
				Subject:    account,
				Advice:     "the memory for the bodies of requests is used up",
				RetryAfter: retryAfter,
			}
		case <-ctx.Done():
			return nil, fault.Wrap(fault.Overloaded, account, ctx.Err())
		}
	}
}

// tryReserve takes the memory if there is enough. Otherwise it returns a channel that is
// closed when some becomes free. A body larger than an account's share is admitted while
// the account has no other, so that every allowed size can be served.
func (b *Budget) tryReserve(account string, bytes int) (taken bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byAccount == nil {
		b.byAccount = make(map[string]int)
		b.released = make(chan struct{})
	}
	smallLimit := int(smallShare * float64(b.Bytes))
	largeLimit := b.Bytes - smallLimit
	accountLimit := int(accountShare * float64(largeLimit))
	switch {
	case bytes <= SmallBody && b.small+bytes <= smallLimit:
		b.small += bytes
		return true, nil
	case bytes <= SmallBody:
		return false, b.released
	}
	fits := b.large+bytes <= largeLimit && b.byAccount[account]+bytes <= accountLimit
	if !fits && (b.byAccount[account] > 0 || b.large > 0) {
		return false, b.released
	}
	b.large += bytes
	b.byAccount[account] += bytes
	return true, nil
}

// reservation is the memory that one body holds, counted as that of a large one or of a
// small one.
type reservation struct {
	account string
	large   bool
	bytes   int
}

// reduce reduces a reservation to a number of bytes.
func (b *Budget) reduce(r *reservation, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	freed := r.bytes - bytes
	if freed <= 0 {
		return
	}
	r.bytes = bytes
	if !r.large {
		b.small -= freed
	} else {
		b.large -= freed
		if b.byAccount[r.account] -= freed; b.byAccount[r.account] == 0 {
			delete(b.byAccount, r.account)
		}
	}
	close(b.released)
	b.released = make(chan struct{})
}
