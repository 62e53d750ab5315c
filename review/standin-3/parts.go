package main

// This file plays clients whose prompts consist of many parts, in heads inside the limits.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine in MB.
	memoryMB = 284
	// partsInHead is the number of parts of a prompt: with the other fields the head stays below
	// 13 KB, the limit is 16,384 bytes. Each is one token.
	partsInHead = 1100
	// promptClients each send a request every promptInterval: 100 a second in all.
	promptClients  = 20
	promptInterval = 200 * time.Millisecond
	// promptTime is how long they do, ordinaryTime how long ordinary requests are sent after that.
	promptTime   = 85 * time.Second
	ordinaryTime = 5 * time.Second
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 250 * time.Millisecond
	// restartDelay is how long the platform waits until it starts a process again.
	restartDelay = 500 * time.Millisecond
	// faultEnds is how many ends on a machine count, faultMachines on how many machines.
	faultEnds, faultMachines = 3, 2
)

// residentMB returns the anonymous resident memory of the process of a daemon, in MB.
func (d *daemon) residentMB() int {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	if _, rest, ok := strings.Cut(string(b), "RssAnon:"); ok {
		_, _ = fmt.Sscan(rest, &kb)
	}
	return kb >> 10
}

// memoryGuard does what the platform does: it kills a process that uses more than its memory, here once
// two looks in a row have shown that, and starts it again.
type memoryGuard struct {
	rec   *recorder
	ends  map[*daemon]int
	peaks map[*daemon]int
}

// watch looks at the processes until stop is set.
func (g *memoryGuard) watch(daemons []*daemon, stop *atomic.Bool) {
	over := make(map[*daemon]bool)
	for !stop.Load() {
		time.Sleep(memoryInterval)
		for _, d := range daemons {
			mb := d.residentMB()
			g.peaks[d] = max(g.peaks[d], mb)
			was := over[d]
			over[d] = mb > memoryMB
			if !was || !over[d] {
				continue
			}
			g.rec.note("%s uses %d MB of %d: the platform kills it", d.name, mb, memoryMB)
			g.ends[d]++
			over[d] = false
			d.signal(syscall.SIGKILL)
			d.await(time.Second)
			time.AfterFunc(restartDelay, func() {
				if err := d.start(); err != nil {
					g.rec.note("%s could not be started: %v", d.name, err)
				}
			})
		}
	}
}

// manyParts sends prompts of many parts, which begin with one that all share.
func manyParts(rec *recorder, root string, trouble bool) error {
	d, err := newDeployment(rec, root, 9, 0, configuration(7, false, tenant("t-one", "key-one")))
	if err != nil {
		return err
	}
	defer d.stop()
	for _, r := range d.ofService("assist") {
		r.set(func(r *runner) { r.pieces = shortStream })
	}
	guard := memoryGuard{rec: rec, ends: make(map[*daemon]int), peaks: make(map[*daemon]int)}
	var done, stop atomic.Bool
	var watching, clients sync.WaitGroup
	watching.Go(func() { guard.watch(d.daemons, &stop) })
	var all count
	for w := range promptClients {
		clients.Go(func() {
			for i := w; !done.Load(); i++ {
				next := time.Now().Add(promptInterval)
				q := chat("key-one", 4*time.Second)
				if trouble {
					prefix := []string{"5c1e07a2:1"}
					for len(prefix) < partsInHead {
						prefix = append(prefix, fmt.Sprintf("%x:1", rand.Uint32()))
					}
					q.header["X-Prompt-Prefix"], q.header["X-Token-Counts"] = strings.Join(prefix, ","), fmt.Sprintf("%d,24", partsInHead)
				}
				a := exchange(d.daemons[i%len(d.daemons)].address(frontPort), q)
				rec.note("%s: head of %d bytes: %d %v", q.id, len(q.head()), a.status, a.err)
				all.add(a)
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(promptTime)
	done.Store(true)
	clients.Wait()
	stop.Store(true)
	watching.Wait()
	time.Sleep(2 * restartDelay)
	var after count
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end); {
		after.add(send(rec, d.daemons[int(after.sent.Load())%len(d.daemons)], chat("key-one", 4*time.Second)))
	}
	machines, core := 0, 0
	for i, x := range d.daemons {
		rec.note("%s: at most %d MB, killed %d times", x.name, guard.peaks[x], guard.ends[x])
		fmt.Printf("%s: at most %d MB of %d, killed %d times\n", x.name, guard.peaks[x], memoryMB, guard.ends[x])
		if guard.ends[x] >= faultEnds {
			machines++
			if i < 3 {
				core++
			}
		}
	}
	fmt.Printf("%d of %d served, %d of %d ordinary ones after that\n", all.served.Load(), all.sent.Load(), after.served.Load(), after.sent.Load())
	if machines >= faultMachines {
		rec.breaks("Fault: on %d machines, %d of the 3 of the core, processes end by themselves %d times or more, as they use more than %d MB", machines, core, faultEnds, memoryMB)
	}
	return nil
}
