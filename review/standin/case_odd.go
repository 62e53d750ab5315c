package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// oddEntry: the platform's list has one entry of another writer, in which the slots are missing.
// It names no server to use, but requests are sent to its address.
func oddEntry(env *Env) (bool, error) {
	s, err := startSite(env, 3, 1, 1, 3)
	if err != nil {
		return false, err
	}
	l, err := net.Listen("tcp", "127.77.9.1:0")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := make(map[string]bool)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		env.Log("ran at a foreign server", "id", id, "method", r.Method, "path", r.URL.Path)
		time.Sleep(3 * time.Second)
		fmt.Fprint(w, "hello from another service")
	}))
	addresses, err := env.Resolve(s.Daemons[0], s.Daemons[0].Zone)
	if err != nil {
		return false, err
	}
	entries := []any{}
	for _, sv := range append(append([]*Server(nil), s.Engines...), s.Apps...) {
		entries = append(entries, sv.Entry())
	}
	if env.Trouble {
		entries = append(entries, map[string]any{
			"id": "other-7", "service": "app", "address": l.Addr().String(), "zone": "zone-a", "version": "v1", "state": "ready", "coldMs": 0,
		})
	}
	s.Platform.SetRaw(entries)
	env.Log("listed", "entries", fmt.Sprint(entries))
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var routed, lost, served atomic.Int64
	for i := range 200 {
		wg.Go(func() {
			q := Request{ID: newID(), Path: "/book/1", Deadline: 2 * time.Second}
			a := env.Send(addresses[i%len(addresses)], q)
			mu.Lock()
			at := ran[q.ID]
			mu.Unlock()
			if a.Complete() {
				served.Add(1)
			}
			if at {
				routed.Add(1)
				if !a.Complete() {
					lost.Add(1)
				}
				env.Log("judged", "id", q.ID, "status", a.Status, "ranAtForeignServer", at)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	env.Log("result", "served", served.Load(), "ranAtForeignServer", routed.Load(), "ofTheseLost", lost.Load())
	return routed.Load() > 0, nil
}
