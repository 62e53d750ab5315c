package main

import (
	"fmt"
	"time"
)

// Site is a small deployment: a fleet, the platform and the backend servers.
type Site struct {
	*Fleet
	Platform *Platform
	Engines  []*Server
	Apps     []*Server
}

// newSite starts the stand-ins and prepares the fleet, which the caller starts.
func newSite(env *Env, disks, plain, engines, apps int) (*Site, error) {
	p, err := newPlatform(env)
	if err != nil {
		return nil, err
	}
	s := &Site{
		Platform: p,
	}
	for i := range engines {
		e := &Server{
			ID: fmt.Sprintf("i-engine-%d", i+1), Service: "llm", Zone: "zone-" + string(rune('a'+i%3)), Slots: 64,
			Stride: 6, EventInterval: 100 * time.Millisecond,
		}
		if err := e.start(env, fmt.Sprintf("127.77.2.%d:0", i+1)); err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range apps {
		a := &Server{
			ID: fmt.Sprintf("i-app-%d", i+1), Service: "app", Zone: "zone-" + string(rune('a'+i%3)), Slots: 6,
			Work: 15 * time.Millisecond,
		}
		if err := a.start(env, fmt.Sprintf("127.77.3.%d:0", i+1)); err != nil {
			return nil, err
		}
		s.Apps = append(s.Apps, a)
	}
	s.List()
	time.Sleep(listLag)
	s.Fleet, err = newFleet(env, disks, plain, p.addr)
	return s, err
}

// List makes the platform list the servers as they are.
func (s *Site) List() {
	var out []Entry
	for _, sv := range append(append([]*Server(nil), s.Engines...), s.Apps...) {
		out = append(out, sv.Entry())
	}
	s.Platform.Set(out...)
}

// startSite starts a whole deployment and waits until it serves.
func startSite(env *Env, disks, plain, engines, apps int) (*Site, error) {
	s, err := newSite(env, disks, plain, engines, apps)
	if err != nil {
		return nil, err
	}
	if err := s.StartAll(); err != nil {
		return nil, err
	}
	if err := s.Put(smallConfiguration(1), 15*time.Second); err != nil {
		return nil, err
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	// The servers of the list reach all machines, and the traffic starts some time after them.
	time.Sleep(4 * time.Second)
	return s, nil
}

// find returns the runs of a request at the given servers.
func find(id string, servers ...*Server) []Run {
	var out []Run
	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// machineAt returns the daemon with a front address.
func (s *Site) machineAt(address string) *Daemon {
	for _, d := range s.Daemons {
		if d.Front() == address {
			return d
		}
	}
	return nil
}
