package main

// This file defines the case of machines that are cut off from all runners.

import (
	"sync"
	"time"

	"standin2/fleet"
)

const (
	// cutTime is for how long the machine is cut off: the longest node_cut of the site file, whose
	// share is 0.17 of the machines; here it is one of six.
	cutTime     = 5500 * time.Millisecond
	cutMachines = 1
	// fewestFailed and failedShare are those of the rule: more than 10 + 1 in 50 of all first
	// tries.
	fewestFailed = 10
	failedShare  = 50
)

// cutOff resets all connections of a machine without a disk to runners, and those that they open.
func cutOff(f *fleet.Fleet) (bool, error) {
	if err := serving(f, 1, eventStream(9, 60, 10*time.Millisecond)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, k := range []fleet.Kind{
		{Path: "/chat/x", Deadline: 4 * time.Second, PerS: 91.1, Retries: 1},
		{Path: "/book/x", Deadline: 1500 * time.Millisecond, PerS: 22.8, Retries: 1},
		{Path: "/status/x", Deadline: 1500 * time.Millisecond, PerS: 9.11, Retries: 1},
	} {
		wg.Go(func() { f.Crowd(k, &fleet.Counts{}, stop) })
	}
	time.Sleep(f.Site.StableWindow)
	cut := make(map[string]bool)
	machines := f.Daemons[len(f.Daemons)-cutMachines:]
	for _, d := range machines {
		cut[d.Front()] = true
		f.Logf("%s is cut off from all runners: %v", d.Name, f.Trouble)
	}
	begun := time.Now()
	if f.Trouble {
		f.Cut(machines...)
	}
	time.Sleep(cutTime)
	ended := time.Now()
	f.Cut()
	f.Logf("the cut has ended")
	close(stop)
	wg.Wait()
	return judgeRecover(f, f.FirstTries(begun.Add(f.Site.StableWindow), ended), cut), nil
}

// judgeRecover reports whether the first tries at machines that are cut off were served well enough.
func judgeRecover(f *fleet.Fleet, tries []fleet.Try, cut map[string]bool) bool {
	var there, others fleet.Counts
	for _, t := range tries {
		c := &others
		if cut[t.Address] {
			c = &there
		}
		c.Asked.Add(1)
		if t.Served {
			c.Served.Add(1)
		}
	}
	failed := there.Asked.Load() - there.Served.Load()
	allowed := int64(fewestFailed + len(tries)/failedShare)
	f.Logf("from %v after the begin of the cut: %d of %d first tries served at the machines cut off, %d of %d at the others; %d failed there, %d are allowed",
		f.Site.StableWindow, there.Served.Load(), there.Asked.Load(), others.Served.Load(), others.Asked.Load(), failed, allowed)
	return 3*there.Share() >= 2*others.Share() || failed <= allowed
}
