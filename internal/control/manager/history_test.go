package manager_test

// This file records the history of rule edits and claims as seen by clients that
// lose replies and retry, and checks with porcupine that it is linearizable.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// operation is a rule edit or, if key is set, a claim of that key.
type operation struct {
	base    uint64
	content string
	key     string
	holder  uint64
}

// observation is the result that the client observed.
type observation struct {
	unknown  bool // the reply was lost, so the operation may have taken effect
	conflict bool
	version  uint64
	granted  bool
}

// modelState is the state of the sequential model. States are compared with ==,
// so both logs are strings.
type modelState struct {
	edits   string // accepted edits with the versions that they produced
	last    uint64 // current version
	holders string // holder of each claimed key
}

// step is the transition function of the model: it reports whether the observed
// result is allowed in the state, and returns the next state.
func step(s, in, out any) (bool, any) {
	st, op, got := s.(modelState), in.(operation), out.(observation)
	if op.key != "" {
		return stepClaim(st, op, got)
	}
	mark := fmt.Sprintf("|%d:%s>", op.base, op.content)
	if version := recordedValue(st.edits, mark); version > 0 {
		return got.unknown || !got.conflict && got.version == version, st
	}
	if op.base != st.last {
		return got.unknown || got.conflict && got.version == st.last, st
	}
	next := st
	next.last++
	next.edits += fmt.Sprintf("%s%d", mark, next.last)
	return got.unknown || !got.conflict && got.version == next.last, next
}

// recordedValue returns the number that follows mark in a log of the model, which
// is the version of an edit or the holder of a key. It returns zero if the log
// does not contain mark.
func recordedValue(log, mark string) uint64 {
	for i := 0; i+len(mark) <= len(log); i++ {
		if log[i:i+len(mark)] == mark {
			var v uint64
			_, _ = fmt.Sscanf(log[i+len(mark):], "%d", &v)
			return v
		}
	}
	return 0
}

// stepClaim is step for claims: the first claim of a key is granted, and later
// ones only if they come from the same holder.
func stepClaim(st modelState, op operation, got observation) (bool, any) {
	mark := fmt.Sprintf("|%s=", op.key)
	if holder := recordedValue(st.holders, mark); holder > 0 {
		return got.unknown || got.granted == (holder == op.holder), st
	}
	next := st
	next.holders += fmt.Sprintf("%s%d", mark, op.holder)
	return got.unknown || got.granted, next
}

// recorder collects the history of operations.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) add(client int, op operation, called time.Time, obs observation) {
	returned := time.Now().UnixNano()
	if obs.unknown {
		// The operation may take effect at any later time, or never.
		returned = time.Now().Add(time.Hour).UnixNano()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client,
		Input:    op,
		Call:     called.UnixNano(),
		Output:   obs,
		Return:   returned,
	})
}

// unanswered reports whether no result of the client's current operation op has
// been recorded yet.
func (r *recorder) unanswered(client int, op operation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.ops) - 1; i >= 0; i-- {
		if r.ops[i].ClientId == client {
			return r.ops[i].Input != op
		}
	}
	return true
}

// runEditor edits the rules, sometimes based on an outdated version, and retries
// edits whose reply was lost and some that succeeded.
func (sim *simulation) runEditor(ctx context.Context, r *recorder, id int) {
	c := client{
		sim:  sim,
		from: fmt.Sprintf("op%d", id),
	}
	version := uint64(0)
	for n := 0; ctx.Err() == nil && n < 7; n++ {
		op := operation{
			base:    version,
			content: string(ruleText(id*100 + n)),
		}
		called := time.Now()
		for retry := true; retry && ctx.Err() == nil; retry = r.unanswered(id, op) || sim.random() < 0.5 {
			tryCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
			resp, err := c.ApplyRules(tryCtx, &pb.ApplyRulesRequest{
				BaseVersion: op.base,
				Content:     []byte(op.content),
			})
			cancel()
			obs := editObservation(resp, err)
			version = max(version, obs.version)
			called = sim.recordAndPause(ctx, r, id, op, called, obs)
		}
	}
}

// recordAndPause records an operation whose reply arrived, and pauses before the
// next call. An operation whose reply was lost stays open from its first call
// until a retry is answered or ctx ends, as a retry changes nothing if the
// operation took effect. It returns the time at which the next call of the
// operation counts as started.
func (sim *simulation) recordAndPause(ctx context.Context, r *recorder, id int, op operation, called time.Time, obs observation) time.Time {
	if !obs.unknown || ctx.Err() != nil {
		r.add(id, op, called, obs)
		called = time.Now()
	}
	time.Sleep(time.Duration(10+sim.random()*200) * time.Millisecond)
	return called
}

// runClaimer claims keys that other clients claim as well, and retries claims
// whose reply was lost and some that were answered.
func (sim *simulation) runClaimer(ctx context.Context, r *recorder, id int) {
	c := client{
		sim:  sim,
		from: fmt.Sprintf("cl%d", id),
	}
	for n := 0; ctx.Err() == nil && n < 15; n++ {
		op := operation{
			key:    fmt.Sprintf("key-%d", n/2),
			holder: uint64(id*1000 + n),
		}
		called := time.Now()
		for retry := true; retry && ctx.Err() == nil; retry = r.unanswered(id, op) || sim.random() < 0.5 {
			tryCtx, cancel := context.WithTimeout(ctx, time.Second)
			res, err := c.Propose(tryCtx, &pb.Command{
				Kind: &pb.Command_ClaimKey{
					ClaimKey: &pb.ClaimKey{
						Key:     op.key,
						Holder:  c.from,
						Attempt: op.holder,
						KeyTime: time.Now().Unix(),
					},
				},
			})
			cancel()
			called = sim.recordAndPause(ctx, r, id, op, called, observation{
				unknown: err != nil,
				granted: res.GetGranted(),
			})
		}
	}
}

// TestHistoryIsLinearizable checks that rule edits and claims are linearizable for
// clients that lose replies and retry, while replicas restart, transfer
// leadership and are cut off.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			r := &recorder{}
			synctest.Test(t, func(t *testing.T) { recordHistory(t, seed, r) })
			answered := 0
			for _, op := range r.ops {
				if !op.Output.(observation).unknown {
					answered++
				}
			}
			require.Greater(t, answered, 20)
			result := porcupine.CheckOperationsTimeout(porcupine.Model{
				Init:  func() any { return modelState{} },
				Step:  step,
				Equal: func(a, b any) bool { return a == b },
				Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
					return byObject(ops)
				},
			}, r.ops, 20*time.Second)
			require.Equal(t, porcupine.Ok, result, "%d operations, %d answered", len(r.ops), answered)
		})
	}
}

// byObject splits a history into one for the rule file and one for each key, which
// porcupine checks independently.
func byObject(ops []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		key := op.Input.(operation).key
		parts[key] = append(parts[key], op)
	}
	var out [][]porcupine.Operation
	for _, p := range parts {
		out = append(out, p)
	}
	return out
}

// recordHistory runs editors and claimers under injected faults and records their
// operations in r.
func recordHistory(t *testing.T, seed uint64, r *recorder) {
	sim := newSimulation(t, func(format string, args ...any) { t.Errorf(format, args...) }, seed)
	defer sim.close()
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	sim.mu.Lock()
	sim.lossRate = 0.05
	sim.mu.Unlock()
	var wg sync.WaitGroup
	for id := range 3 {
		if id < 2 {
			wg.Go(func() { sim.runEditor(ctx, r, id+1) })
		}
		wg.Go(func() { sim.runClaimer(ctx, r, id+11) })
	}
	// Restarts, leadership transfers and partitions of replicas. Kind 4 ends the
	// partitions and the message loss.
	for _, kind := range []int{5, 9, 3, 4, 5, 11, 4, 9} {
		sim.injectFault(kind)
		time.Sleep(time.Duration(500+sim.random()*3000) * time.Millisecond)
	}
	sim.injectFault(4)
	wg.Wait()
}

// editObservation converts the result of an edit. It distinguishes a conflict, which
// proves that nothing changed, from failures that leave the outcome unknown.
func editObservation(resp *pb.ApplyRulesResponse, err error) observation {
	if err == nil {
		return observation{
			version: resp.GetVersion(),
		}
	}
	var f *fault.Fault
	if errors.As(err, &f) && f.Kind == fault.RuleConflict {
		return observation{
			conflict: true,
			version:  f.RuleVersion,
		}
	}
	return observation{
		unknown: true,
	}
}
