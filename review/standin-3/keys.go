package main

// This file plays the cases of keys that were taken away.

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// revokeTime is the bound revokeMs of the deployment.
const revokeTime = 5 * time.Second

// frozenPublic freezes a daemon while a key is taken away and another one is given to another tenant.
// Requests with these keys are sent to it, on a public route, over revokeTime after the acknowledgement
// and before it wakes.
func frozenPublic(rec *recorder, root string, trouble bool) error {
	d, err := newDeployment(rec, root, 0, 3, configuration(7, true, tenant("t-one", "key-gone", "key-moved", "key-kept"), tenant("t-two", "key-two")))
	if err != nil {
		return err
	}
	defer d.stop()
	frozen := d.daemons[2]
	q := book("key-gone")
	if a := send(rec, frozen, q); a.status != 200 || d.ledger.of(q.id)[0].tenant != "t-one" {
		return fmt.Errorf("a request with its key, before: status %d", a.status)
	}
	begun := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	others := append(append([]*daemon(nil), d.daemons[:2]...), d.daemons[3:]...)
	if s := d.operator.apply(others, configuration(9, true, tenant("t-one", "key-kept"), tenant("t-two", "key-two", "key-moved")), 5*time.Second); s != 200 {
		return fmt.Errorf("the second configuration: status %d", s)
	}
	acked := time.Now()
	rec.note("version 9 is acknowledged: key-gone is taken away, key-moved is one of t-two")
	time.Sleep(time.Until(acked.Add(revokeTime + 300*time.Millisecond)))
	var wg sync.WaitGroup
	sent := make([]*request, 40)
	for i := range sent {
		sent[i] = book([]string{"key-gone", "key-moved"}[i%2])
		wg.Go(func() { send(rec, frozen, sent[i]) })
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		rec.note("the daemon stood still for %.1f s", time.Since(begun).Seconds())
	}
	wg.Wait()
	holder := map[string]string{"key-gone": "", "key-moved": "t-two"}
	for _, q := range sent {
		for _, x := range d.ledger.of(q.id) {
			if x.tenant != "" && x.tenant != holder[q.key] {
				rec.breaks("UNASKED %s: sent with %s over %v after the acknowledgement, runs at %s with X-Tenant %q, which doesn't hold the key", q.id, q.key, revokeTime, x.runner, x.tenant)
			}
		}
	}
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
