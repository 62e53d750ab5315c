// Package workers runs background jobs on a fixed number of goroutines.
package workers

// This file defines Pool.

import (
	"context"
	"sync"
)

const (
	// DefaultSize is the number of goroutines of a pool.
	DefaultSize = 8
	// queueLength is the number of jobs that can wait for a goroutine.
	queueLength = 1024
)

// Pool runs jobs in the background. Jobs start in the order of submission.
type Pool struct {
	jobs chan func(context.Context)
	ctx  context.Context
}

// New starts a pool of size goroutines, or of DefaultSize if size is zero. The
// clean-up function cancels the context of the running jobs and waits for them;
// jobs that are still queued may never run.
func New(size int) (*Pool, func()) {
	if size == 0 {
		size = DefaultSize
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		jobs: make(chan func(context.Context), queueLength),
		ctx:  ctx,
	}
	var wg sync.WaitGroup
	for range size {
		wg.Go(p.work)
	}
	return p, func() {
		cancel()
		wg.Wait()
	}
}

// work runs queued jobs until the pool is stopped.
func (p *Pool) work() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case job := <-p.jobs:
			job(p.ctx)
		}
	}
}

// Submit queues a job. It returns false if the queue is full or the pool has been
// stopped.
func (p *Pool) Submit(job func(context.Context)) bool {
	if p.ctx.Err() != nil {
		return false
	}
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}
