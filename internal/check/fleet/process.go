package fleet

// This file defines Process.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
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

// Launch starts a program as a process called name, whose output is appended to
// a file below dir. The caller must end it.
func Launch(program, dir, name, address string, args []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, name, err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(fault.Internal, name, err)
	}
	p := &Process{
		Name:    name,
		Address: address,
		cmd:     cmd,
		args:    args,
		done:    make(chan struct{}),
	}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Kill ends the process at once, also when it is stopped, and waits for its end.
func (p *Process) Kill() {
	if ended, _ := p.Exited(); !ended {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	<-p.done
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
