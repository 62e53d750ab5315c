// Package demo runs a fleet under load through a fixed series of events (a rule
// change, the kill of a daemon, the drain of an engine) and reports what it
// measured and which of the system's guarantees were violated.
package demo

// This file defines Report and the run that fills it.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/client/caller"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	numChats       = 120
	numChatWorkers = 24
	// loadDuration is how long the load lasts, not counting the wait for the rule
	// change.
	loadDuration = 12 * time.Second
	// callInterval is the pause between two keys of non-idempotent calls.
	callInterval = 60 * time.Millisecond
	// maxTokens is the length of each response.
	maxTokens = 40
	// rulesTimeout is the time within which a rule change must be in force on
	// all daemons.
	rulesTimeout = 4 * time.Second
	// seed makes the choice of chats the same in every run.
	seed         = 1
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
)

// Report holds what a run measured and the violated guarantees.
type Report struct {
	// Deployment is the name of the deployment.
	Deployment string
	// Requests counts the requests to engines, FailedRequests those that failed or
	// were answered incompletely.
	Requests       int64
	FailedRequests int64
	// PromptTokens, ReusedTokens and ReusableTokens sum up the prompts of the
	// answered requests: all tokens, those that the engine reused, and those that
	// an earlier request of the chat has left in a prefix cache.
	PromptTokens   int64
	ReusedTokens   int64
	ReusableTokens int64
	// SkewMedian and SkewMax are the median and the maximum of the sampled skew,
	// which is the maximum load of an engine divided by the mean load.
	SkewMedian float64
	SkewMax    float64
	// ControlBytesMean and ControlBytesMax are the bytes per second of control
	// traffic, as the mean and the maximum over the daemons.
	ControlBytesMean float64
	ControlBytesMax  float64
	// Calls counts the keys of non-idempotent calls, CallsInDoubt those that were
	// left in doubt.
	Calls        int64
	CallsInDoubt int64
	// RulesPropagation is the time from the rule change until all daemons had it;
	// zero when it took too long.
	RulesPropagation time.Duration
	// Violations describes each violated guarantee, and where the logs are.
	Violations []string
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s\t\n", strings.ToUpper(r.Deployment))
	fmt.Fprintf(t, "requests\t%d\n", r.Requests)
	fmt.Fprintf(t, "lost\t%d\n", r.FailedRequests)
	fmt.Fprintf(t, "reused of reusable prompt tokens\t%.1f%%\n", 100*float64(r.ReusedTokens)/float64(max(r.ReusableTokens, 1)))
	fmt.Fprintf(t, "max/mean load, median and worst sample\t%.2f  %.2f\n", r.SkewMedian, r.SkewMax)
	fmt.Fprintf(t, "control bytes/s per router, mean and worst\t%.0f  %.0f\n", r.ControlBytesMean, r.ControlBytesMax)
	fmt.Fprintf(t, "non-idempotent calls, in doubt\t%d  %d\n", r.Calls, r.CallsInDoubt)
	fmt.Fprintf(t, "second rule file in force on all routers\t%s\n", r.RulesPropagation.Round(time.Millisecond))
	for _, v := range r.Violations {
		fmt.Fprintf(t, "BROKEN\t%s\n", v)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(t, "guarantees\tall held\n")
	}
	fmt.Fprintln(t)
	t.Flush()
}

// run is the state of one run of the demo.
type run struct {
	f      *fleet.Fleet
	caller *caller.Caller
	// stop ends the load.
	stop atomic.Bool

	mu     sync.Mutex
	report Report
	// cachedTokens holds, by chat, how many tokens of its next prompt an engine
	// may have in its prefix cache.
	cachedTokens map[string]uint32
	// outcomes holds the outcome of each key: done, notRun or inDoubt.
	outcomes map[string]string
	// skews holds the samples of the maximum load of an engine divided by the
	// mean load.
	skews      []float64
	violations []string
}

// recordViolation adds a violated guarantee to the report.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Run runs the demo on the deployment that topology describes, with the programs in
// bin. It keeps the logs if a guarantee was violated or the run failed.
func Run(bin string, topology fleet.Topology) (*Report, error) {
	dir, err := os.MkdirTemp("", "camphor-demo-")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "demo", err)
	}
	f, cleanup, err := fleet.Start(bin, dir, topology)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	r := &run{
		f: f,
		caller: &caller.Caller{
			Seeds: f.Addresses(),
		},
		cachedTokens: make(map[string]uint32),
		outcomes:     make(map[string]string),
	}
	if err := r.runScenario(); err != nil {
		return nil, fault.Wrap(fault.Internal, "logs are in "+dir, err)
	}
	r.report.Deployment = topology.Name
	r.report.Violations = r.violations
	if len(r.violations) == 0 {
		os.RemoveAll(dir)
	} else {
		r.report.Violations = append(r.report.Violations, "logs are in "+dir)
	}
	return &r.report, nil
}

// runScenario runs the events while the fleet is under load, and then checks and
// stops the fleet.
func (r *run) runScenario() error {
	if err := r.f.AwaitReady(readyTimeout); err != nil {
		return err
	}
	if _, err := r.f.ApplyRules(0, r.f.Topology.Rules("first version")); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range numChatWorkers {
		wg.Go(func() { r.runChats(rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Go(r.runCalls)
	wg.Go(r.sampleSkew)
	err := r.runEvents()
	r.stop.Store(true)
	wg.Wait()
	if err != nil {
		return err
	}
	r.checkKeys()
	r.checkDumps()
	r.stopAll()
	r.summarizeSkew()
	return nil
}

// runEvents changes the rules, kills a daemon and drains an engine while the
// fleet is under load.
func (r *run) runEvents() error {
	time.Sleep(loadDuration / 4)
	sent := time.Now()
	if _, err := r.f.ApplyRules(1, r.f.Topology.Rules("second version")); err != nil {
		return err
	}
	r.awaitVersion(2, sent)
	if err := r.f.Daemons[len(r.f.Daemons)-1].Signal(syscall.SIGKILL); err != nil {
		return fault.Wrap(fault.Internal, "kill", err)
	}
	time.Sleep(loadDuration / 4)
	if _, err := fleet.NewOperatorClient(r.f.Daemons[0].Address).Drain(context.Background(), connect.NewRequest(&pb.DrainRequest{
		BackendServer: r.f.Engines[0].Name,
		Drain:         true,
		Reason:        "demo",
	})); err != nil {
		return err
	}
	time.Sleep(loadDuration / 2)
	return nil
}

// awaitVersion waits until all daemons have a rule version that was applied at
// the time sent, and records a violation when that takes too long.
func (r *run) awaitVersion(version uint64, sent time.Time) {
	for _, d := range r.f.Daemons {
		for {
			s, err := fleet.ReadDump(d.Address)
			if err == nil && s.Member.RuleVersion >= version {
				break
			}
			if time.Since(sent) > rulesTimeout {
				r.recordViolation("rule version %d was not in force on %s within %s", version, d.Name, rulesTimeout)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	r.report.RulesPropagation = time.Since(sent)
}

// runChats sends further turns of randomly chosen chats until the load ends.
// The product of two random numbers makes low chat numbers more frequent.
func (r *run) runChats(rnd *rand.Rand) {
	for n := 0; !r.stop.Load(); n++ {
		i := int(float64(numChats) * rnd.Float64() * rnd.Float64())
		chat := fmt.Sprintf("%s-chat-%d", r.f.Topology.Name, i)
		r.sendTurn(chat, i, rnd.Uint64())
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// sendTurn sends the next turn of a chat, whose prompt repeats the earlier turns,
// and records the tokens that the engine reused.
func (r *run) sendTurn(chat string, i int, id uint64) {
	r.mu.Lock()
	cached := r.cachedTokens[chat]
	r.mu.Unlock()
	req := &pb.GenerateRequest{
		Service:       r.f.Topology.EngineService,
		Chat:          chat,
		ClientAccount: fmt.Sprintf("%s-%d", r.f.Topology.Name, i%10),
		RequestId:     fmt.Sprintf("%s-%x", chat, id),
		Kind:          []string{"summary", "lookup", "lookup", "overnight"}[i%4],
		PromptTokens:  max(cached, 400) + 60,
		MaxTokens:     maxTokens,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	frames, reused := 0, uint32(0)
	err := r.caller.Generate(ctx, req, func(g *pb.GenerateResponse) {
		if g.GetEnd() {
			reused = g.GetReusedTokens()
			return
		}
		frames++
	})
	atomic.AddInt64(&r.report.Requests, 1)
	if err != nil || frames != maxTokens {
		atomic.AddInt64(&r.report.FailedRequests, 1)
		r.recordViolation("request %s: received %d of %d frames, error: %v", req.GetRequestId(), frames, maxTokens, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedTokens[chat] = max(r.cachedTokens[chat], req.GetPromptTokens()+maxTokens)
	r.report.PromptTokens += int64(req.GetPromptTokens())
	r.report.ReusableTokens += int64(min(cached, req.GetPromptTokens()))
	r.report.ReusedTokens += int64(reused)
}

// runCalls sends non-idempotent calls, each key twice in succession, until the
// load ends. A key has the outcome done only if both calls succeeded.
func (r *run) runCalls() {
	for n := 0; !r.stop.Load(); n++ {
		key := fmt.Sprintf("%d-%s-%08d", time.Now().Unix(), r.f.Topology.Name, n)
		outcome := "done"
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			_, err := r.caller.Call(ctx, &pb.CallRequest{
				Service:       r.f.Topology.PlainService,
				ClientAccount: r.f.Topology.Name + "-0",
				Call:          "book-visit",
				Key:           key,
			})
			cancel()
			if err != nil {
				outcome = "inDoubt"
				if d := fault.Detail(err); d.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
					outcome = "notRun"
				}
			}
		}
		r.mu.Lock()
		r.outcomes[key] = outcome
		r.mu.Unlock()
		time.Sleep(callInterval)
	}
}

// checkKeys compares the outcome of each key with how often it was executed.
func (r *run) checkKeys() {
	counts, err := r.f.Executions()
	if err != nil {
		r.recordViolation("can't read the execution counts: %v", err)
		return
	}
	for key, outcome := range r.outcomes {
		r.report.Calls++
		n := counts[key]
		switch {
		case n > 1:
			r.recordViolation("key %s was executed %d times", key, n)
		case outcome == "notRun" && n != 0:
			r.recordViolation("key %s was reported as not run but was executed", key)
		case outcome == "done" && n != 1:
			r.recordViolation("key %s was reported as done but was executed %d times", key, n)
		case outcome == "inDoubt":
			r.report.CallsInDoubt++
		}
	}
}

// sampleSkew samples the skew of the loads that the engines report, while these
// add up to at least one request per engine.
func (r *run) sampleSkew() {
	for !r.stop.Load() {
		loads := r.f.EngineLoads()
		total := 0
		for _, l := range loads {
			total += l
		}
		if total >= len(loads) {
			r.skews = append(r.skews, float64(slices.Max(loads))*float64(len(loads))/float64(total))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkDumps records violated invariants and the control traffic of the daemons
// that still run.
func (r *run) checkDumps() {
	n := 0
	for _, d := range r.f.Daemons {
		if exited, _ := d.Exited(); exited {
			continue
		}
		s, err := fleet.ReadDump(d.Address)
		if err != nil {
			r.recordViolation("can't read the dump of %s: %v", d.Name, err)
			continue
		}
		for name, count := range s.Violations {
			r.recordViolation("%s violated invariant %s %d times", d.Name, name, count)
		}
		// Only the traffic of a router counts: replicating the control log and
		// answering heartbeats are the work of the control replicas.
		controlBytes := s.ControlBytes["heartbeat"] + s.ControlBytes["peer"] + s.ControlBytes["probe"]
		rate := float64(controlBytes) / (float64(s.UptimeMs) / 1000)
		r.report.ControlBytesMean += rate
		r.report.ControlBytesMax = max(r.report.ControlBytesMax, rate)
		n++
	}
	r.report.ControlBytesMean /= float64(max(n, 1))
}

// stopAll sends SIGTERM to all running daemons at once and waits for them.
func (r *run) stopAll() {
	var running []*fleet.Process
	for _, d := range r.f.Daemons {
		if exited, _ := d.Exited(); !exited {
			running = append(running, d)
			_ = d.Signal(syscall.SIGTERM)
		}
	}
	for _, d := range running {
		if err := d.Wait(stopTimeout); err != nil {
			r.recordViolation("%s did not stop gracefully: %v", d.Name, err)
		}
	}
}

// summarizeSkew computes the median and the maximum of the skew samples.
func (r *run) summarizeSkew() {
	if len(r.skews) == 0 {
		return
	}
	slices.Sort(r.skews)
	r.report.SkewMedian = r.skews[len(r.skews)/2]
	r.report.SkewMax = r.skews[len(r.skews)-1]
}
