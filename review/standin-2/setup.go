package main

// This file defines what the cases have in common.

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"standin2/fleet"
)

// The slots of the runners of skeena-bench.
const (
	modelSlots = 64
	plainSlots = 6
)

// eventStream returns a handler that answers with events of a number of bytes, and a pause between
// them.
func eventStream(events, bytes int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", bytes)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

// plainAnswer works as long as the runners of the sheets, and answers with 800 bytes.
func plainAnswer(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(15 * time.Millisecond)
	fmt.Fprint(w, strings.Repeat("x", 800))
}

// serving starts a number of model runners and one plain runner in each zone, and the daemons, has the
// first configuration accepted, and waits until the core has been stable for StableWindow.
func serving(f *fleet.Fleet, modelRunners int, stream http.HandlerFunc) error {
	var entries []fleet.Entry
	start := func(id, service, zone string, slots int, handle http.HandlerFunc) error {
		r, err := f.NewRunner(id, service, zone, "v1", slots, handle)
		if err == nil {
			entries = append(entries, r.Entry)
		}
		return err
	}
	for i, zone := range f.Site.Zones {
		for n := range modelRunners {
			if err := start(fmt.Sprintf("i-assist-%d-%d", i+1, n+1), "assist", zone, modelSlots, stream); err != nil {
				return err
			}
		}
		if err := start(fmt.Sprintf("i-dispatch-%d", i+1), "dispatch", zone, plainSlots, plainAnswer); err != nil {
			return err
		}
	}
	f.List.Set(entries...)
	if err := f.Start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	status, _, err := f.Replace(fleet.Standard(3).JSON(), 10*time.Second)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the first configuration got status %d, %v", status, err)
	}
	if !f.AwaitReady(len(f.Daemons), 15*time.Second) {
		return fmt.Errorf("not all daemons are ready")
	}
	time.Sleep(f.Site.StableWindow)
	return nil
}
