package main

import (
	"sync"
	"time"
)

const (
	drainTime = 3 * time.Second
	// lingers is how much longer than drainTime the server serves.
	lingers = 3 * time.Second
	// bookingWork is how long a booking takes, so that some are at work when the server ends.
	bookingWork = 500 * time.Millisecond
)

// leavingHeader: a server leaves and says so in all its answers, while the platform's list cannot
// be read. Requests still reach it later than drainMs after a machine has passed on such an answer.
func leavingHeader(env *Env) (bool, error) {
	s, err := startSite(env, 3, 1, 1, 3)
	if err != nil {
		return false, err
	}
	for _, a := range s.Apps {
		a.Work = bookingWork
	}
	addresses, err := env.Resolve(s.Daemons[0], s.Daemons[0].Zone)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []*Answer
	send := func(span time.Duration) {
		end := env.Now() + span
		for i := 0; env.Now() < end; i++ {
			wg.Go(func() {
				a := env.Send(addresses[i%len(addresses)], Request{ID: newID(), Path: "/book/1", Deadline: 1500 * time.Millisecond})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
			time.Sleep(60 * time.Millisecond)
		}
	}
	send(4 * time.Second)
	leaver := s.Apps[0]
	if env.Trouble {
		s.Platform.SetDown(true)
	}
	leaver.Leave()
	s.List()
	send(drainTime + lingers)
	wg.Go(leaver.Stop)
	send(3 * time.Second)
	s.Platform.SetDown(false)
	wg.Wait()
	// When each machine first passed on an answer that says the server leaves.
	told := make(map[string]time.Duration)
	for _, a := range all {
		if a.Header.Get("Server-Leaving") == "" {
			continue
		}
		if at, ok := told[a.Address]; !ok || a.Ended < at {
			told[a.Address] = a.Ended
		}
	}
	late, lost := 0, 0
	for _, a := range all {
		at, ok := told[a.Address]
		if !ok || a.Sent <= at+drainTime {
			continue
		}
		for _, r := range find(a.Request.ID, leaver) {
			late++
			if !a.Complete() {
				lost++
			}
			env.Log("judged", "id", a.Request.ID, "machine", a.Address, "sentAfterAnswer", a.Sent-at, "reached", r.Server, "status", a.Status)
		}
	}
	env.Log("result", "machinesTold", len(told), "reachedTheLeavingServer", late, "ofTheseLost", lost)
	return late > 0, nil
}
