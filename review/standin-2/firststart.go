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
	// lossOrderTime is for how long the operator sends its first order while the machine is lost, and
	// orderTime for how long it sends the second once all machines are back.
	lossOrderTime = 8 * time.Second
	orderTime     = 40 * time.Second
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

// lostAtFirstStart lets a machine of the core lose power as it starts, while the other two of the three
// run, connected. Then the daemons of these two are stopped and started in turn, the lost machine comes
// back, and all run undisturbed. The operator sends an order before and after that.
func lostAtFirstStart(f *fleet.Fleet) (bool, error) {
	lost, err := startWithLoss(f)
	if err != nil {
		return false, err
	}
	time.Sleep(f.Site.StableWindow)
	f.Logf("the core is stable from here on: more than half of it has run, connected, for %v", f.Site.StableWindow)
	first := acknowledged(f, 3, lossOrderTime, f.Daemons[0], f.Daemons[1])
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
	second := acknowledged(f, 4, orderTime, f.Daemons...)
	for _, d := range f.Daemons {
		f.Logf("%s is ready: %v", d.Name, d.Ready())
	}
	return first && second, nil
}

// acknowledged sends a configuration, and reports whether it was acknowledged in time.
func acknowledged(f *fleet.Fleet, version uint64, limit time.Duration, to ...*fleet.Daemon) bool {
	status, took, err := f.Replace(fleet.Standard(version).JSON(), limit, to...)
	f.Logf("operator: version %d: status %d after %v, %v; the bound is %v", version, status, took, err, f.Site.Ack)
	return err == nil && status == http.StatusOK && took <= f.Site.Ack
}
