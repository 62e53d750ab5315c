package main

// This file plays runners that restart in place while the platform is down.

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is how long a leaving runner goes on serving: drainMs and a little longer.
	drainTime = 3500 * time.Millisecond
	// restartTime is how long its restart takes, rollGap the time between two runners.
	restartTime = 500 * time.Millisecond
	rollGap     = time.Second
	// recoverTime is the bound recoverS of the deployment.
	recoverTime = 12 * time.Second
	// observeTime is how long the requests after that are counted.
	observeTime = 55 * time.Second
)

const (
	// bookClients and chatClients each send a request every clientInterval: in all, the rates of the
	// sheet of skeena-bench for its two services.
	bookClients    = 16
	chatClients    = 36
	clientInterval = 400 * time.Millisecond
	// shortStream is the number of events of a stream.
	shortStream = 4
)

// count counts the requests of a kind.
type count struct{ sent, served atomic.Int64 }

func (c *count) add(a answer) {
	c.sent.Add(1)
	if a.status == 200 && a.complete {
		c.served.Add(1)
	}
}

func (c *count) share() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }

// inPlace restarts the runners of a service one after the other, under their ids and at their addresses.
// With trouble, the platform is down meanwhile.
func inPlace(rec *recorder, root string, trouble bool) error {
	d, err := newDeployment(rec, root, 3, 3, configuration(7, false, tenant("t-one", "key-one")))
	if err != nil {
		return err
	}
	defer d.stop()
	var stop, recovered atomic.Bool
	var books, chats, late, lateChats count
	var wg sync.WaitGroup
	for _, r := range d.ofService("assist") {
		r.set(func(r *runner) { r.pieces = shortStream })
	}
	for w := range bookClients + chatClients {
		wg.Go(func() {
			for i := w; !stop.Load(); i++ {
				q, all, after := book("key-one"), &books, &late
				if w >= bookClients {
					q, all, after = chat("key-one", 4*time.Second), &chats, &lateChats
				}
				counted := recovered.Load()
				next := time.Now().Add(clientInterval)
				a := send(rec, d.daemons[i%len(d.daemons)], q)
				all.add(a)
				if counted {
					after.add(a)
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(2 * time.Second)
	d.platform.setDown(trouble)
	var rolls sync.WaitGroup
	for i, r := range d.ofService("dispatch") {
		rolls.Go(func() {
			time.Sleep(time.Duration(i) * rollGap)
			rec.note("runner %s leaves", r.id)
			r.set(func(r *runner) { r.state = "draining" })
			d.platform.changed()
			time.Sleep(drainTime)
			r.stop()
			time.Sleep(restartTime)
			r.set(func(r *runner) { r.state = "ready" })
			if err := r.restart(); err != nil {
				rec.note("%v", err)
			}
			d.platform.changed()
		})
	}
	rolls.Wait()
	time.Sleep(listLag)
	d.platform.setDown(false)
	rec.note("all runners and the platform are back")
	time.Sleep(recoverTime)
	recovered.Store(true)
	rec.note("recoverS has passed")
	time.Sleep(observeTime)
	stop.Store(true)
	wg.Wait()
	all := float64(books.served.Load()+chats.served.Load()) / float64(max(books.sent.Load()+chats.sent.Load(), 1))
	fmt.Printf("book-visit: %d of %d served, later than recoverS after all was back %d of %d; chats: %d of %d, %d of %d\n",
		books.served.Load(), books.sent.Load(), late.served.Load(), late.sent.Load(), chats.served.Load(), chats.sent.Load(), lateChats.served.Load(), lateChats.sent.Load())
	if books.share() < all/4 {
		rec.breaks("Starved: of one kind of request %.3f are served, of all %.3f; later than recoverS after all was back, %d of %d", books.share(), all, late.served.Load(), late.sent.Load())
	}
	return nil
}
