// Package forwarding chooses the instance to which an instance that reaches no backend server
// forwards a request.
//
// Load pattern: most instances, or all of a failure domain, are cut off from the servers, and the
// others take the requests of all. Each of them takes requests in proportion to its processor. One
// that refused a request is left out for a while, as others may have room.
package forwarding

// This file defines Picker.

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphorspoke/internal/routing/pushback"
)

const (
	// refusalPause is how long an instance that refused a request, or could not be reached, gets
	// no other.
	refusalPause = 500 * time.Millisecond
	// defaultCPUMilli stands for an unknown processor share, in thousandths of a core.
	defaultCPUMilli = 250
	// otherDomainFactor is multiplied with the pressure on instances of other failure domains.
	otherDomainFactor = 2
)

// Instance is an instance to which requests may be forwarded.
type Instance struct {
	Name          string
	FailureDomain string
	Address       string
	// CPUMilli is its processor share in thousandths of a core; zero if unknown.
	CPUMilli uint32
}

func (i Instance) weight() float64 {
	if i.CPUMilli == 0 {
		return defaultCPUMilli
	}
	return float64(i.CPUMilli)
}

// Capacity returns the number of forwarded requests that an instance with a processor share, in
// thousandths of a core, serves at a time.
func Capacity(cpuMilli uint32) int {
	return int(Instance{
		CPUMilli: cpuMilli,
	}.weight())
}

// Picker chooses instances. The zero value is ready for use. It is not safe for concurrent use.
type Picker struct {
	// inFlight holds the number of requests forwarded to each instance that have not ended.
	inFlight map[string]int
	refusals pushback.Tracker
}

// Pick chooses one of the instances and counts a request as forwarded to it; ok is false if none is
// left. Of two that it draws, it takes the one with fewer requests in flight for its processor
// share. Those of other failure domains than the given one count as more loaded.
func (p *Picker) Pick(now time.Duration, instances []Instance, domain string) (chosen Instance, ok bool) {
	usable := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return p.refusals.Left(now, i.Name) > 0 })
	if len(usable) == 0 {
		return Instance{}, false
	}
	chosen = draw(usable)
	if other := draw(usable); p.pressure(other, domain) < p.pressure(chosen, domain) {
		chosen = other
	}
	if p.inFlight == nil {
		p.inFlight = make(map[string]int)
	}
	p.inFlight[chosen.Name]++
	return chosen, true
}

// pressure returns the load of an instance with one more request, for its processor share.
func (p *Picker) pressure(i Instance, domain string) float64 {
	pressure := float64(p.inFlight[i.Name]+1) / i.weight()
	if i.FailureDomain != domain {
		pressure *= otherDomainFactor
	}
	return pressure
}

// draw returns a random instance, in proportion to the processor shares.
func draw(instances []Instance) Instance {
	sum := 0.0
	for _, i := range instances {
		sum += i.weight()
	}
	at := rand.Float64() * sum
	for _, i := range instances {
		if at -= i.weight(); at < 0 {
			return i
		}
	}
	return instances[len(instances)-1]
}

// Ended records that a request that was forwarded to an instance has ended. If it was refused, the
// instance gets no other for a while.
func (p *Picker) Ended(now time.Duration, instance string, refused bool) {
	if p.inFlight[instance]--; p.inFlight[instance] <= 0 {
		delete(p.inFlight, instance)
	}
	if refused {
		p.refusals.Record(now, instance, refusalPause)
	}
}
