package main

// This file defines the case of prompts of many parts.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"standin2/fleet"
)

const (
	// manyParts and fewParts are the parts of a prompt with and without trouble, promptTokens its
	// tokens. The head of a request is below the limit of 16,384 bytes with both.
	manyParts    = 1100
	fewParts     = 3
	promptTokens = 2200
	// partsPerS is the rate of all model requests of the site, partsTime for how long they come.
	partsPerS = 91.1
	partsTime = 95 * time.Second
	// endsToBreak and machinesToBreak are those of the rule.
	endsToBreak     = 3
	machinesToBreak = 2
)

// promptHeader returns the headers of a new prompt of a number of parts.
func promptHeader(parts int) string {
	entries := make([]string, parts)
	for i := range entries {
		entries[i] = fmt.Sprintf("%08x:%d", rand.Uint32(), promptTokens/parts)
	}
	return fmt.Sprintf("X-Model: m\r\nX-Token-Counts: %d,40\r\nX-Prompt-Prefix: %s\r\n", promptTokens, strings.Join(entries, ","))
}

// promptsOfManyParts sends prompts whose parts are short, and ends the processes that use more than
// their machine's memory, as the platform does.
func promptsOfManyParts(f *fleet.Fleet) (bool, error) {
	if err := serving(f, 3, eventStream(4, 60, 5*time.Millisecond)); err != nil {
		return false, err
	}
	parts := fewParts
	if f.Trouble {
		parts = manyParts
	}
	f.Logf("clients: each prompt has %d tokens in %d parts; the head of a request has some %d bytes", promptTokens, parts, len(promptHeader(parts))+200)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := &fleet.Counts{}
	wg.Go(func() {
		f.Crowd(fleet.Kind{
			Path:     "/chat/x",
			Deadline: 3 * time.Second,
			PerS:     partsPerS,
			Retries:  1,
			Header:   func() string { return promptHeader(parts) },
		}, counts, stop)
	})
	ends := make([]int, len(f.Daemons))
	errs := make([]error, len(f.Daemons))
	for i, d := range f.Daemons {
		wg.Go(func() { ends[i], errs[i] = d.LimitMemory(stop) })
	}
	time.Sleep(partsTime)
	close(stop)
	wg.Wait()
	machines := 0
	for i, d := range f.Daemons {
		if errs[i] != nil {
			return false, errs[i]
		}
		if ends[i] >= endsToBreak {
			machines++
		}
		f.Logf("%s has ended by itself %d times", d.Name, ends[i])
	}
	f.Logf("%d of %d requests served; processes ended %d times or more on %d machines, a break from %d on", counts.Served.Load(), counts.Asked.Load(), endsToBreak, machines, machinesToBreak)
	return machines < machinesToBreak, nil
}
