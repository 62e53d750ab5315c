package soak

// This file defines how the operator evacuates failure domains.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"camphorspoke/platform/wireformat"
)

const (
	// evacuateTimeout is how long the operator waits for the response to a call before it
	// repeats it, and evacuatePause the pause after a refusal.
	evacuateTimeout = time.Second
	evacuatePause   = 100 * time.Millisecond
	// finishTimeout is how long the finish of an evacuation is repeated. It is longer than
	// any fault lasts.
	finishTimeout = 30 * time.Second
)

// failureDomains are the failure domains of the backend servers, which alternate between
// them if there are evacuations; otherwise all are in the first.
var failureDomains = [...]string{"a", "b"}

// evacuateKind is the kind of planned operation in which the operator evacuates a failure
// domain and brings it back.
var evacuateKind = faultKind{name: "evacuate", planned: true, inject: (*injector).evacuate}

// evacuate evacuates a failure domain for longer than the evacuation may take.
func (f *injector) evacuate() error {
	s := f.s
	if s.checker.Counts()["served"] == 0 {
		// Until the list has been read, no failure domain of a server is known.
		return nil
	}
	domain := failureDomains[f.rng.IntN(len(failureDomains))]
	acknowledged := f.callUntilOK(domain, wireformat.EvacuateStart, s.checker.Bounds.Evacuate)
	if acknowledged {
		s.checker.Evacuated(domain, time.Now())
		s.log("evacuated", domain)
		time.Sleep(s.checker.Bounds.Evacuate + f.randomDuration(s.checker.Bounds.Evacuate))
	}
	s.checker.Opened(domain)
	// A start that was not acknowledged may have been committed.
	if !f.callUntilOK(domain, wireformat.EvacuateFinish, finishTimeout) {
		s.checker.AddViolation("evacuations can be finished", fmt.Sprintf("no daemon acknowledged the finish of %s for %v", domain, finishTimeout))
	}
	return nil
}

// callUntilOK sends a call to one random daemon after another until one acknowledges it, and
// returns false if none does in time.
func (f *injector) callUntilOK(domain, action string, limit time.Duration) bool {
	for start := time.Now(); time.Since(start) < limit; {
		status := f.callEvacuate(domain, action)
		if status == http.StatusOK {
			return true
		}
		if status == http.StatusNotFound {
			f.s.checker.AddViolation("known failure domains can be evacuated", domain)
		}
		time.Sleep(evacuatePause)
	}
	return false
}

// callEvacuate sends one call to a random daemon and returns the status of its response, or 0
// if there was none in time.
func (f *injector) callEvacuate(domain, action string) int {
	ctx, cancel := context.WithTimeout(context.Background(), evacuateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.randomDaemon().address(operatorPort)+wireformat.EvacuatePathPrefix+domain+action, nil)
	if err != nil {
		return 0
	}
	resp, err := f.s.operator.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
