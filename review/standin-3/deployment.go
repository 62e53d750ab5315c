package main

// This file sets up a small deployment: five daemons, of which three have disks, the platform, runners
// and the operator.

import (
	"fmt"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"terrace", "smithers", "kitimat"}

// daemonSpecs are the machines of the deployment.
var daemonSpecs = []daemonSpec{
	{zone: "terrace", disk: true},
	{zone: "smithers", disk: true},
	{zone: "kitimat", disk: true},
	{zone: "terrace"},
	{zone: "smithers"},
}

// deployment is a small deployment.
type deployment struct {
	*fleet
	rec      *recorder
	ledger   *ledger
	platform *platform
	operator *operator
}

// newDeployment starts everything, and returns once the first configuration is acknowledged and all
// daemons are ready. assist and dispatch are the numbers of runners of the two services.
func newDeployment(rec *recorder, root string, assist, dispatch int, first map[string]any) (*deployment, error) {
	p, err := newPlatform(rec)
	if err != nil {
		return nil, err
	}
	f, err := newFleet(rec, root, daemonSpecs, p.address)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		fleet:    f,
		rec:      rec,
		ledger:   &ledger{},
		platform: p,
		operator: newOperator(f),
	}
	if err := d.start(assist, dispatch, first); err != nil {
		f.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(assist, dispatch int, first map[string]any) error {
	for i := range assist + dispatch {
		service := "assist"
		if i >= assist {
			service = "dispatch"
		}
		r, err := newRunner(d.rec, d.ledger, fmt.Sprintf("i-%d", i+1), service, zones[i%len(zones)], d.net+".200")
		if err != nil {
			return err
		}
		if service == "assist" {
			r.pieces, r.gap = streamPieces, streamGap
		}
		d.platform.runners = append(d.platform.runners, r)
	}
	d.platform.changed()
	for _, x := range d.daemons {
		if err := x.start(); err != nil {
			return err
		}
	}
	if s := d.operator.apply(d.daemons, first, 15*time.Second); s != 200 {
		return fmt.Errorf("the first configuration: status %d", s)
	}
	if !d.awaitReady(15 * time.Second) {
		return fmt.Errorf("the daemons are not ready")
	}
	// Until all is in touch.
	time.Sleep(4 * time.Second)
	return nil
}

const (
	// streamPieces and streamGap are the events of a stream and the time between two.
	streamPieces = 40
	streamGap    = 50 * time.Millisecond
)

// ofService returns the runners of a service.
func (d *deployment) ofService(service string) []*runner {
	var out []*runner
	for _, r := range d.platform.runners {
		if r.service == service {
			out = append(out, r)
		}
	}
	return out
}
