package guarantee

// This file checks that the fleet keeps the retry budget of each service.

import (
	"fmt"
	"time"
)

// Budget limits the arrivals beyond the first of each request at a service: in each window
// there may be Ratio of them for each request, plus Slack.
type Budget struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// traffic is what a service got.
type traffic struct {
	// sent holds when callers sent requests for the service, repeats when a request
	// arrived that had arrived before; both in order.
	sent    []time.Time
	repeats []time.Time
}

// trafficOf returns the traffic of a service.
func (c *Checker) trafficOf(service string) *traffic {
	t, ok := c.traffic[service]
	if !ok {
		t = &traffic{}
		c.traffic[service] = t
	}
	return t
}

// recordArrival counts the arrivals of a request.
func (c *Checker) recordArrival(id string, at time.Time) {
	c.arrivals[id]++
	if c.arrivals[id] > 1 {
		t := c.trafficOf(c.attempts[id].Service)
		t.repeats = append(t.repeats, at)
	}
}

// between returns how many of the times lie in a window that ends at a time.
func between(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at.After(end.Add(-window)) && !at.After(end) {
			n++
		}
	}
	return n
}

// CheckBudget records a violation for each service whose retry budget was exceeded in some
// window, with the worst one. Requests are counted in the window, in the one before it or
// in the one half a window before it, whichever has most.
func (c *Checker) CheckBudget(b Budget) {
	defer c.lock()()
	for service, t := range c.traffic {
		worst, detail := 0.0, ""
		for _, end := range t.repeats {
			repeats := between(t.repeats, end, b.Window)
			requests := max(between(t.sent, end, b.Window), between(t.sent, end.Add(-b.Window/2), b.Window), between(t.sent, end.Add(-b.Window), b.Window))
			allowed := b.Ratio*float64(requests) + b.Slack
			if beyond := float64(repeats) - allowed; beyond > worst {
				worst, detail = beyond, fmt.Sprintf("%s: %d repeats for %d requests in %v, %.0f allowed", service, repeats, requests, b.Window, allowed)
			}
		}
		if worst > 0 {
			c.addViolationf("the retry budget of a service is kept", "%s", detail)
		}
		c.counts["repeats of "+service] += len(t.repeats)
	}
}
