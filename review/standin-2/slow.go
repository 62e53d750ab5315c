package main

// This file defines the case of clients that read slowly.

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standin2/fleet"
)

const (
	// slowClients is the number of clients, which all read at once.
	slowClients = 8
	// events and eventBytes are the most that a live-caption stream of the site has.
	events     = 169
	eventBytes = 310
	// receiveBuffer is what a client asks for as its receive buffer, in bytes.
	receiveBuffer = 4 << 10
	// A slow client takes readBytes each readPause, so that it has the largest stream well before
	// its deadline.
	readBytes = 1 << 10
	readPause = 150 * time.Millisecond
	// streamDeadline is that of the site for this kind of request.
	streamDeadline = 15 * time.Second
	// maxClosed is how many kept connections may be closed without an answer.
	maxClosed = 3
)

// slowReaders lets clients on kept connections ask for a stream right after the daemon has got a
// SIGHUP, and read it slowly but steadily.
func slowReaders(f *fleet.Fleet) (bool, error) {
	if err := serving(f, 1, eventStream(events, eventBytes, 5*time.Millisecond)); err != nil {
		return false, err
	}
	d := f.Daemons[len(f.Daemons)-1]
	var conns []*fleet.Conn
	for range slowClients {
		c, err := fleet.Dial(d.Front(), receiveBuffer, readBytes)
		if err != nil {
			return false, err
		}
		defer c.Close()
		status, _, body, err := c.Do(fleet.Request{Path: "/chat/first", ID: fleet.NewID(), Key: "key-one", DeadlineMs: streamDeadline.Milliseconds(), Body: "{}"})
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("the first request on a connection got %d, %d bytes, %w", status, len(body), err)
		}
		conns = append(conns, c)
	}
	f.Logf("platform: SIGHUP to %s", d.Name)
	d.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	var cut atomic.Int32
	for _, c := range conns {
		wg.Go(func() {
			if !readsWhole(f, d, c) {
				cut.Add(1)
			}
		})
	}
	wg.Wait()
	f.Logf("%d of %d kept connections ended without a complete answer, though a sound runner had the request; a break from 1 on beside the SIGHUP, from %d on at any time", cut.Load(), slowClients, maxClosed+1)
	return cut.Load() == 0, nil
}

// readsWhole sends a request and reads its stream, slowly with trouble, and reports whether the answer
// was complete.
func readsWhole(f *fleet.Fleet, d *fleet.Daemon, c *fleet.Conn) bool {
	if f.Trouble {
		c.Pace = func() { time.Sleep(readPause) }
	}
	id := fleet.NewID()
	begun := time.Now()
	status, _, body, err := c.Do(fleet.Request{Path: "/chat/slow", ID: id, Key: "key-one", DeadlineMs: streamDeadline.Milliseconds(), Body: "{}"})
	whole := err == nil && status == http.StatusOK && bytes.Count(body, []byte("\n\n")) == events
	f.Logf("client %s at %s: status %d, %d bytes, %d events of %d in %v, %v", id, d.Name, status, len(body), bytes.Count(body, []byte("\n\n")), events, time.Since(begun).Round(time.Millisecond), err)
	return whole
}
