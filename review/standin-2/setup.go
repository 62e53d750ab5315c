package main

// This file defines what the cases have in common.

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"standin2/fleet"
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

// serving starts a runner of each service in each zone and the daemons, has the first configuration
// accepted, and waits until the core has been stable for StableWindow.
func serving(f *fleet.Fleet, stream http.HandlerFunc) ([]*fleet.Runner, error) {
	var runners []*fleet.Runner
	var entries []fleet.Entry
	for i, zone := range f.Site.Zones {
		for service, handle := range map[string]http.HandlerFunc{"assist": stream, "dispatch": plainAnswer} {
			r, err := f.NewRunner(fmt.Sprintf("i-%s-%d", service, i+1), service, zone, "v1", 64, handle)
			if err != nil {
				return nil, err
			}
			runners, entries = append(runners, r), append(entries, r.Entry)
		}
	}
	f.List.Set(entries...)
	if err := f.Start(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	status, _, err := f.Replace(fleet.Standard(3).JSON(), 10*time.Second)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the first configuration got status %d, %v", status, err)
	}
	if !f.AwaitReady(len(f.Daemons), 15*time.Second) {
		return nil, fmt.Errorf("not all daemons are ready")
	}
	time.Sleep(f.Site.StableWindow)
	return runners, nil
}
