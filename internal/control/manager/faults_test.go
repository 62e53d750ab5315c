package manager_test

// This file defines the faults of the fake fleet.

import (
	"context"
	"fmt"
	"time"

	"camphorspoke/internal/control/raftlog"
)

// act brings about one fault, or ends all.
func (w *world) act(kind int) {
	w.mu.Lock()
	router, rep := fmt.Sprintf("n%d", w.rnd.IntN(routers)), fmt.Sprintf("r%d", w.rnd.IntN(replicas))
	w.mu.Unlock()
	switch kind {
	case 0, 1:
		w.cutOff(router, kind == 1)
	case 2:
		w.cutOff(rep, false)
	case 3:
		w.cutOff(rep, true)
	case 4:
		w.mu.Lock()
		clear(w.cut)
		w.loss, w.slow = 0, 0
		w.mu.Unlock()
	case 5:
		if n := w.stopNode(rep); n != nil {
			w.startNode(rep, n.disk)
		}
	case 6:
		w.stopRouter(router)
		w.startRouter(router)
	case 7:
		w.stopRouter(router)
	case 8:
		w.mu.Lock()
		w.loss = 0.2
		w.mu.Unlock()
	case 9:
		w.transfer(rep)
	case 10:
		// A router hears no replica; the others do.
		w.mu.Lock()
		for i := range replicas {
			w.cut[[2]string{fmt.Sprintf("r%d", i), router}] = true
		}
		w.mu.Unlock()
	case 11:
		// The leader is cut off from the other replicas, not from routers.
		w.mu.Lock()
		for i := range replicas {
			o := fmt.Sprintf("r%d", i)
			w.cut[[2]string{rep, o}], w.cut[[2]string{o, rep}] = true, true
		}
		w.mu.Unlock()
	case 12:
		// A router is silent for about as long as its lease, then is back.
		w.cutOff(router, false)
		for range 5 {
			w.later(time.Duration(2000+500*w.random())*time.Millisecond, func() { w.act(4) })
		}
	case 13:
		w.mu.Lock()
		w.slow = 60
		w.mu.Unlock()
	case 14:
		// A router gets its last answer late.
		w.mu.Lock()
		w.slow = 60
		w.mu.Unlock()
		w.later(time.Second, func() { w.cutOff(router, false) })
	}
}

// later brings a fault about after a while, unless the faults have ended.
func (w *world) later(d time.Duration, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timers = append(w.timers, time.AfterFunc(d, f))
}

// cutOff cuts one process off from all others, in one direction or both.
func (w *world) cutOff(name string, oneWay bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range max(replicas, routers) {
		for _, o := range []string{fmt.Sprintf("r%d", i), fmt.Sprintf("n%d", i)} {
			w.cut[[2]string{o, name}] = true
			if !oneWay {
				w.cut[[2]string{name, o}] = true
			}
		}
	}
}

func (w *world) transfer(name string) {
	n := w.node(name)
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.replica.Change(ctx, func(n *raftlog.Node, now time.Duration) error { return n.Transfer(now) })
}
