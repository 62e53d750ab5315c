package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// shortTokens and longTokens are the output tokens of the usual and of the long chats:
	// 4 events and 60 events, one each 100 ms.
	shortTokens = "600,24"
	longTokens  = "600,360"
	// excusedAfterTerm is how long after a SIGTERM a request may be sent that the machine
	// may cut in the last sixth of its grace period.
	excusedAfterTerm = 3 * time.Second
	chatDeadline     = 12 * time.Second
)

func chat(tokens string) Request {
	id := newID()
	return Request{
		ID:          id,
		Path:        "/chat/1",
		Deadline:    chatDeadline,
		PromptParts: "5c1e07a2:400,91bd3f06:150," + id[8:] + ":50",
		TokenCounts: tokens,
	}
}

// drainLongStream: a machine that gets SIGTERM accepts a chat more than 3 s later, passes it on
// to a server, and cuts it when its grace period ends, because the chats before were shorter.
func drainLongStream(env *Env) (bool, error) {
	s, err := startSite(env, 3, 2, 3, 1)
	if err != nil {
		return false, err
	}
	addresses, err := env.Resolve(s.Daemons[3], s.Daemons[3].Zone)
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	usual := func(span time.Duration, every time.Duration, to []string) {
		end := env.Now() + span
		for i := 0; env.Now() < end; i++ {
			address := to[i%len(to)]
			wg.Go(func() { env.Send(address, chat(shortTokens)) })
			time.Sleep(every)
		}
	}
	usual(15*time.Second, 80*time.Millisecond, addresses)
	// The client asks once more; it keeps the answer three times its time to live of 2 s.
	if addresses, err = env.Resolve(s.Daemons[3], s.Daemons[3].Zone); err != nil {
		return false, err
	}
	target := s.machineAt(addresses[0])
	for _, a := range addresses {
		if m := s.machineAt(a); m != nil && !m.Disk {
			target = m
			break
		}
	}
	env.Log("the machine to stop", "machine", target.Name)
	term := env.Now()
	if env.Trouble {
		target.Signal(syscall.SIGTERM)
	}
	time.Sleep(excusedAfterTerm + 200*time.Millisecond)
	var mu sync.Mutex
	var answers []*Answer
	for range 5 {
		wg.Go(func() {
			a := env.Send(target.Front(), chat(longTokens))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	broken := false
	for _, a := range answers {
		runs := find(a.Request.ID, s.Engines...)
		cut := len(runs) > 0 && runs[0].Executed && !a.Complete() && (a.Status == 200 || a.Status == 0) &&
			a.Ended-a.Sent < chatDeadline-100*time.Millisecond
		env.Log("judged", "id", a.Request.ID, "sentAfterTerm", a.Sent-term, "endedAfterTerm", a.Ended-term,
			"reachedServer", len(runs) > 0, "complete", a.Complete(), "status", a.Status, "cut", cut)
		broken = broken || cut
	}
	return broken, nil
}
