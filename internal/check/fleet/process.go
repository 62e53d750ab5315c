package fleet

// This file defines Process.

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"camphorspoke/internal/world/fault"
)

// Process is one process of the fleet.
type Process struct {
	Name    string
	Address string
	cmd     *exec.Cmd
	args    []string
	done    chan struct{}
	err     error
}

// Exited reports whether the process has ended, and how.
func (p *Process) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Wait waits for the process to end.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fault.New(fault.Internal, p.Name, "did not end in time")
	}
}

// Usage returns the processor time that the process has used and the memory
// that it occupies, in bytes.
func (p *Process) Usage() (cpu time.Duration, memory int64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, fault.Wrap(fault.Internal, p.Name, err)
	}
	// The fields after the name in brackets: state is the first.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	const (
		userField, systemField, pagesField = 11, 12, 21
		tick                               = 10 * time.Millisecond
	)
	if len(f) <= pagesField {
		return 0, 0, fault.New(fault.Internal, p.Name, "the process has ended")
	}
	var user, system, pages int64
	if _, err := fmt.Sscan(f[userField]+" "+f[systemField]+" "+f[pagesField], &user, &system, &pages); err != nil {
		return 0, 0, fault.Wrap(fault.Internal, p.Name, err)
	}
	return time.Duration(user+system) * tick, pages * int64(os.Getpagesize()), nil
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }
