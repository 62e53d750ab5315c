// Package forwarding chooses the instance to which an instance that reaches no backend server
// forwards a request.
//
// Load pattern: most instances, or all of a failure domain, are cut off from the servers, and the
// others take the requests of all. Each of them takes requests in proportion to its processor. One
// that refused a request is left out for a while, as others may have room. So is one whose connections
// are accepted and broken: a request that is lost there may have run, and cannot go elsewhere.
package forwarding

// This file defines Picker, Instance and Outcome.

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
	// maxDoublings is how often the pause doubles for an instance that breaks connections again and
	// again.
	maxDoublings = 4
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

// Outcome is how a request that was forwarded to an instance has ended there.
type Outcome int

const (
	// Answered means that the instance has answered, or that the caller has left.
	Answered Outcome = iota
	// Refused means that the instance took no request, or could not be reached.
	Refused
	// Broken means that the connection to the instance broke once the request was sent.
	Broken
)

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
	// broken holds how many requests in a row broke at each instance.
	broken map[string]int
	pauses pushback.Tracker
}

// Pick chooses one of the instances and counts a request as forwarded to it; ok is false if none is
// left. Of two that it draws, it takes the one with fewer requests in flight for its processor
// share. Those of other failure domains than the given one count as more loaded.
func (p *Picker) Pick(now time.Duration, instances []Instance, domain string) (chosen Instance, ok bool) {
	usable := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return p.pauses.Left(now, i.Name) > 0 })
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

// Ended records how a request that was forwarded to an instance has ended. If the instance did not
// answer, it gets no other for a while.
func (p *Picker) Ended(now time.Duration, instance string, outcome Outcome) {
	if p.inFlight[instance]--; p.inFlight[instance] <= 0 {
		delete(p.inFlight, instance)
	}
	switch outcome {
	case Answered:
		delete(p.broken, instance)
	case Refused:
		p.pauses.Record(now, instance, refusalPause)
	case Broken:
		p.pauses.Record(now, instance, refusalPause<<min(p.broken[instance], maxDoublings))
		if p.broken == nil {
			p.broken = make(map[string]int)
		}
		p.broken[instance]++
	}
}
