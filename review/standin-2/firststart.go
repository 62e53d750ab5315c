package main

// This file defines the cases in which a machine of the core is lost while the whole system starts
// for the first time.

import (
	"net/http"
	"syscall"
	"time"

	"standin2/fleet"
)

const (
	// darkTime is for how long the machine of case 8 is without power.
	darkTime = 25 * time.Second
	// orderTime is for how long the operator of case 7 sends its order.
	orderTime = 60 * time.Second
)

// startWithLoss starts all daemons. With trouble, the last machine of the core loses power as it
// starts.
func startWithLoss(f *fleet.Fleet) (lost *fleet.Daemon, err error) {
	if err := f.Start(); err != nil {
		return nil, err
	}
	lost = f.Daemons[2]
	if f.Trouble {
		lost.Kill()
		f.Logf("platform: %s has lost power", lost.Name)
	}
	return lost, nil
}

// lostAtFirstStart lets a machine of the core lose power as it starts, for darkTime. The other two of
// the three run, connected, all the while.
func lostAtFirstStart(f *fleet.Fleet) (bool, error) {
	begun := time.Now()
	lost, err := startWithLoss(f)
	if err != nil {
		return false, err
	}
	time.Sleep(f.Site.StableWindow)
	f.Logf("the core is stable from here on: more than half of it has run, connected, for %v", f.Site.StableWindow)
	status, took, err := f.Replace(fleet.Standard(3).JSON(), darkTime-time.Since(begun), f.Daemons[0], f.Daemons[1])
	f.Logf("operator: status %d after %v, %v; the bound is %v", status, took, err, f.Site.Ack)
	held := err == nil && status == http.StatusOK && took <= f.Site.Ack
	if f.Trouble {
		if err := lost.Start(false); err != nil {
			return false, err
		}
		status, took, err := f.Replace(fleet.Standard(3).JSON(), 10*time.Second)
		f.Logf("operator: with all machines running, status %d after %v, %v", status, took, err)
	}
	return held, nil
}

// restartedBeforeFormation lets a machine of the core lose power as it starts, for a few seconds, in
// which the daemons of the other two are stopped and started in turn. Then all run undisturbed.
func restartedBeforeFormation(f *fleet.Fleet) (bool, error) {
	lost, err := startWithLoss(f)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for _, d := range f.Daemons[:2] {
		f.Logf("platform: SIGTERM to %s", d.Name)
		d.Signal(syscall.SIGTERM)
		d.Wait()
		if err := d.Start(false); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	if f.Trouble {
		if err := lost.Start(false); err != nil {
			return false, err
		}
	}
	time.Sleep(f.Site.Recover)
	f.Logf("all machines have run, connected, for %v", f.Site.Recover)
	status, took, err := f.Replace(fleet.Standard(3).JSON(), orderTime)
	f.Logf("operator: status %d after %v, %v; the bound is %v", status, took, err, f.Site.Ack)
	for _, d := range f.Daemons {
		f.Logf("%s is ready: %v", d.Name, d.Ready())
	}
	return err == nil && status == http.StatusOK && took <= f.Site.Ack, nil
}
