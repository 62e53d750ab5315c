package main

// This file plays the cases of keys that were taken away.

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// revokeTime is the bound revokeMs of the deployment.
	revokeTime = 5 * time.Second
	// longestFreeze is the longest time for which a machine of the core stands still on the sheet.
	longestFreeze = 7300 * time.Millisecond
	// freezeMargin is how much longer than revokeTime a daemon stands still after the acknowledgement.
	freezeMargin = 600 * time.Millisecond
)

// freezeRounds is how often a daemon is frozen. Which of two comes first as it wakes, the requests that
// wait for it or the answer to its heartbeat, is a matter of milliseconds.
const freezeRounds = 6

// coreMachines is the number of machines with a disk, which come first.
const coreMachines = 3

// frozenPublic freezes one daemon of the core after the other while a key is taken away and another one is given to
// another tenant. Requests with these keys are sent to it, on a public route, over revokeTime after the
// acknowledgement and before it wakes.
func frozenPublic(rec *recorder, root string, trouble bool) error {
	d, err := newDeployment(rec, root, 0, 3, configuration(7, true, tenant("t-one", "key-gone", "key-moved", "key-kept"), tenant("t-two", "key-two")))
	if err != nil {
		return err
	}
	defer d.stop()
	rounds := 0
	for n := range freezeRounds {
		before := rec.count()
		if err := d.freezeRound(d.daemons[coreMachines-1-n%coreMachines], 9+4*n, trouble); err != nil {
			return err
		}
		if rec.count() > before {
			rounds++
		}
	}
	fmt.Printf("%d of %d rounds\n", rounds, freezeRounds)
	return nil
}

// freezeRound plays one freeze, with configurations of two versions, and gives the keys back.
func (d *deployment) freezeRound(frozen *daemon, version int, trouble bool) error {
	q := book("key-gone")
	if a := send(d.rec, frozen, q); a.status != 200 || d.ledger.of(q.id)[0].tenant != "t-one" {
		return fmt.Errorf("a request with its key, before: status %d", a.status)
	}
	begun := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	var others []*daemon
	for _, x := range d.daemons {
		if x != frozen {
			others = append(others, x)
		}
	}
	if s := d.operator.apply(others, configuration(version, true, tenant("t-one", "key-kept"), tenant("t-two", "key-two", "key-moved")), 5*time.Second); s != 200 {
		return fmt.Errorf("version %d: status %d", version, s)
	}
	acked := time.Now()
	d.rec.note("version %d is acknowledged: key-gone is taken away, key-moved is one of t-two", version)
	if trouble && time.Since(begun)+revokeTime+freezeMargin > longestFreeze {
		d.rec.note("this took longer than a freeze may last; %s wakes", frozen.name)
		frozen.signal(syscall.SIGCONT)
		return d.giveBack(version + 2)
	}
	time.Sleep(time.Until(acked.Add(revokeTime + 300*time.Millisecond)))
	var wg sync.WaitGroup
	sent := make([]*request, 40)
	for i := range sent {
		sent[i] = book([]string{"key-gone", "key-moved"}[i%2])
		wg.Go(func() { send(d.rec, frozen, sent[i]) })
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		d.rec.note("%s stood still for %.1f s", frozen.name, time.Since(begun).Seconds())
	}
	wg.Wait()
	holder := map[string]string{"key-gone": "", "key-moved": "t-two"}
	for _, q := range sent {
		for _, x := range d.ledger.of(q.id) {
			if x.tenant != "" && x.tenant != holder[q.key] {
				d.rec.breaks("UNASKED %s: sent with %s over %v after the acknowledgement, runs at %s with X-Tenant %q, which doesn't hold the key", q.id, q.key, revokeTime, x.runner, x.tenant)
			}
		}
	}
	return d.giveBack(version + 2)
}

// giveBack gives the keys back, and waits until all is calm again.
func (d *deployment) giveBack(version int) error {
	if s := d.operator.apply(d.daemons, configuration(version, true, tenant("t-one", "key-gone", "key-moved", "key-kept"), tenant("t-two", "key-two")), 5*time.Second); s != 200 {
		return fmt.Errorf("version %d: status %d", version, s)
	}
	time.Sleep(4 * time.Second)
	return nil
}

// lastTenant takes the only tenant away with its key.
func lastTenant(rec *recorder, root string, trouble bool) error {
	d, err := newDeployment(rec, root, 0, 3, configuration(7, false, tenant("t-one", "key-one")))
	if err != nil {
		return err
	}
	defer d.stop()
	if a := send(rec, d.daemons[0], book("key-one")); a.status != 200 {
		return fmt.Errorf("a request with its key, before: status %d", a.status)
	}
	if a := send(rec, d.daemons[0], book("key-never-held")); a.status != 401 {
		return fmt.Errorf("a request with an unknown key, before: status %d", a.status)
	}
	next := configuration(9, false)
	keys := []string{"key-one", "key-never-held", ""}
	if !trouble {
		next, keys = configuration(9, false, tenant("t-one", "key-one")), keys[1:]
	}
	if s := d.operator.apply(d.daemons, next, 5*time.Second); s != 200 {
		return fmt.Errorf("the second configuration: status %d", s)
	}
	acked := time.Now()
	rec.note("version 9 is acknowledged")
	time.Sleep(time.Until(acked.Add(revokeTime + 2*time.Second)))
	for _, x := range d.daemons {
		for _, key := range keys {
			q := book(key)
			send(rec, x, q)
			for _, y := range d.ledger.of(q.id) {
				rec.breaks("ROUTE %s: key %q, which no tenant holds, sent to %s %.1f s after the acknowledgement, runs at %s", q.id, key, x.name, time.Since(acked).Seconds(), y.runner)
			}
		}
	}
	return nil
}
