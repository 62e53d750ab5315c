package main

// This file plays runners that start again under their id with another version of their software.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// crashTime is how long a crashed runner is down, crashGap the time between two crashes.
	crashTime = 2 * time.Second
	crashGap  = 2500 * time.Millisecond
)

// stream is a stream of a client, with its tries.
type stream struct {
	// last is the id of the last whole event, versions the software versions of all events.
	last     int
	versions map[string]bool
}

// read takes the whole events of an answer.
func (s *stream) read(a answer) {
	if a.status != 200 {
		return
	}
	events := strings.Split(a.body, "\n\n")
	for _, e := range events[:len(events)-1] {
		var id int
		var version string
		if _, err := fmt.Sscanf(e, "id: %d\ndata: %s", &id, &version); err == nil {
			s.last = id
			s.versions[version] = true
		}
	}
}

// softwareVersions crashes one runner after the other. Each is back after crashTime under its id and at
// its address, with the next version of its software, as the list shows after its lag.
func softwareVersions(rec *recorder, root string, trouble bool) error {
	d, err := newDeployment(rec, root, 9, 0, configuration(7, false, tenant("t-one", "key-one")))
	if err != nil {
		return err
	}
	defer d.stop()
	end := time.Now().Add(time.Duration(len(d.platform.runners)+2) * crashGap)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, takenUp, mixed := 0, 0, 0
	for range 40 {
		wg.Go(func() {
			for time.Now().Before(end) {
				s := stream{versions: make(map[string]bool)}
				q := chat("key-one", 8*time.Second)
				begun := time.Now()
				s.read(send(rec, d.daemons[rand.IntN(len(d.daemons))], q))
				again := s.last > 0 && s.last < streamPieces
				if again {
					next := *q
					next.id, next.deadline = newID(), q.deadline-time.Since(begun)
					next.header = map[string]string{"Resumes": q.id, "Last-Event-Id": fmt.Sprint(s.last)}
					for k, v := range q.header {
						next.header[k] = v
					}
					s.read(send(rec, d.daemons[rand.IntN(len(d.daemons))], &next))
				}
				mu.Lock()
				if again {
					takenUp++
				}
				if s.last == streamPieces {
					whole++
				}
				if len(s.versions) > 1 {
					mixed++
					rec.note("MIXED VERSIONS %s: %v", q.id, s.versions)
				}
				mu.Unlock()
			}
		})
	}
	if trouble {
		for _, r := range d.platform.runners {
			time.Sleep(crashGap)
			r.crash()
			time.AfterFunc(crashTime, func() {
				r.set(func(r *runner) { r.version = "v2" })
				if err := r.restart(); err != nil {
					rec.note("%v", err)
				}
				d.platform.changed()
			})
		}
	}
	wg.Wait()
	fmt.Printf("streams: %d whole, %d taken up by their clients, %d with events of two versions\n", whole, takenUp, mixed)
	if mixed > 2 {
		rec.breaks("ORDER: %d streams hold events from runners of two software versions of one service", mixed)
	}
	return nil
}
