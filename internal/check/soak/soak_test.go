package soak_test

// This file runs short soaks with programs that are built with the race detector.
// Each seed that once failed is a regression test; its comment states the cause.

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/soak"
)

var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "camphor-soak-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if out, err := exec.Command("go", "build", "-race", "-o", dir, "camphorspoke/cmd/camphord").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// TestSoak injects faults for a few seconds with each seed.
func TestSoak(t *testing.T) {
	for name, cfg := range map[string]soak.Config{
		"kill all, lost disk, links": {
			Seed:        1,
			Callers:     6,
			ChatCallers: 3,
		},
		// Three of the seeds 1 to 7 and 101 to 107 failed when camphord installed its
		// signal handlers too late, because SIGHUP or SIGTERM right after a start then
		// ended the process at once.
		"signals right after a start": {
			Seed:    101,
			Callers: 6,
		},
		// Failed when a second SIGTERM ended a process that was finishing its requests.
		"signals in series during planned stops": {
			Seed:        2,
			Callers:     2,
			ChatCallers: 8,
			PlannedOnly: true,
			Grace:       8 * time.Second,
		},
		// All servers of a service fail half of their requests: retries keep their budget.
		"servers fail together": {
			Seed:    3,
			Callers: 10,
			FailAll: true,

			KillFirstStart: true,
		},
		// Backend servers restart under load: a cold one gets no more than its limit, also
		// when the instances that decide are killed or out of contact.
		"servers restart and are cold": {
			Seed:        5,
			Callers:     24,
			ColdServers: true,
		},
		// A failure domain is evacuated at a time, while daemons and links fail.
		"evacuations": {
			Seed:     4,
			Callers:  8,
			Evacuate: true,
		},
		// Backend servers become other incarnations at their addresses and repeat refusals late:
		// a request that goes to an address for the second time takes no copy of its first
		// refusal for the response, which would run it twice or report that it did not run.
		"servers are renamed and repeat refusals": {
			Seed:          7,
			Callers:       12,
			RenameServers: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg.FaultDuration = 8 * time.Second
			run(t, cfg)
		})
	}
}

// TestRequestsThatCrashServersAreNotSentAgain: two requests, a safe and an unsafe one, come
// again and again at random daemons and crash each backend server that executes them. It
// failed while each crash counted against its server alone.
func TestRequestsThatCrashServersAreNotSentAgain(t *testing.T) {
	t.Parallel()
	run(t, soak.Config{
		Seed:          1,
		FaultDuration: 12 * time.Second,
		Callers:       8,
		NoFaults:      true,
		CrashServers:  true,
	})
}

// TestRequestsThatCrashServersBesideOtherFaults is the same beside the other faults.
func TestRequestsThatCrashServersBesideOtherFaults(t *testing.T) {
	t.Parallel()
	run(t, soak.Config{
		Seed:          1,
		FaultDuration: 12 * time.Second,
		Callers:       8,
		CrashServers:  true,
	})
}

// TestRequestsThatCrashServersWhileDecidersChange: the daemons that hold no replica are killed
// in turn while the control group is stable. It fails while the crashes that a decider has seen
// are lost with it, as no decider then sees two in a row.
func TestRequestsThatCrashServersWhileDecidersChange(t *testing.T) {
	t.Parallel()
	run(t, soak.Config{
		Seed:          506,
		FaultDuration: 12 * time.Second,
		Daemons:       6,
		Callers:       8,
		NoFaults:      true,
		KillRouters:   true,
		CrashServers:  true,
	})
}

// TestStreamsHoldEventsOfOneVersion: servers of two software versions serve side by side and break
// off streams before their first events, so that daemons send the requests to others, while callers
// leave streams and take them up at once at other daemons. It fails while a stream can be bound to
// the version of a server that brought none of its events.
func TestStreamsHoldEventsOfOneVersion(t *testing.T) {
	t.Parallel()
	run(t, soak.Config{
		Seed:          1,
		FaultDuration: 10 * time.Second,
		Daemons:       5,
		Callers:       4,
		NoFaults:      true,
		Versions:      true,
	})
}

// run runs a soak with four daemons or more and requires that it violates no guarantee.
func run(t *testing.T, cfg soak.Config) {
	cfg.Bin = binDir
	cfg.Dir = keptOnFailure(t)
	cfg.Daemons = max(cfg.Daemons, 4)
	cfg.Replicas = 3
	report, err := soak.Run(context.Background(), cfg)
	require.NoError(t, err)
	var out strings.Builder
	report.Print(&out)
	t.Log(out.String())
	require.Empty(t, report.Violations)
	require.NotZero(t, report.Counts["served"]+report.Counts["chats served"])
}

// keptOnFailure returns a directory that is removed after the test, unless it has failed: the logs
// of the daemons are then needed to trace it.
func keptOnFailure(t *testing.T) string {
	dir, err := os.MkdirTemp("", "camphor-soak-test-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the logs of the daemons are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}
