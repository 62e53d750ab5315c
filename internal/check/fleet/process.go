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

	"camphorspoke/internal/base/fault"
)

// Process is one process of the fleet.
type Process struct {
	Name    string
	Address string
	cmd     *exec.Cmd
	args    []string
	// done is closed when the process has exited, after err was set to the
	// result of Wait.
	done chan struct{}
	err  error
}

// Launch starts a program as a process called name and appends its output to the
// file name.log in dir. address is recorded as Process.Address. The caller must
// end the process.
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

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Kill kills the process, also while it is suspended by SIGSTOP, and waits until
// it has exited.
func (p *Process) Kill() {
	if exited, _ := p.Exited(); !exited {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	<-p.done
}

// Exited reports whether the process has exited, and the error with which it
// did.
func (p *Process) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Wait waits until the process has exited and returns the error with which it
// did. It fails after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fault.New(fault.Internal, p.Name, "the process did not exit before the timeout")
	}
}

// Usage returns the CPU time that the process has used and its resident memory
// in bytes, both from /proc.
func (p *Process) Usage() (cpu time.Duration, memory int64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, fault.Wrap(fault.Internal, p.Name, err)
	}
	// The name, in brackets, may contain spaces, so fields are counted from the
	// one after it, the state. The times are in clock ticks.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	const (
		userField, systemField, pagesField = 11, 12, 21
		tick                               = 10 * time.Millisecond
	)
	if len(f) <= pagesField {
		return 0, 0, fault.New(fault.Internal, p.Name, "/proc stat file of the process has too few fields")
	}
	var user, system, pages int64
	if _, err := fmt.Sscan(f[userField]+" "+f[systemField]+" "+f[pagesField], &user, &system, &pages); err != nil {
		return 0, 0, fault.Wrap(fault.Internal, p.Name, err)
	}
	return time.Duration(user+system) * tick, pages * int64(os.Getpagesize()), nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }
