package soak

// This file defines daemon, one real process of the fleet.

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/world/fault"
)

// The ports of a daemon, from the soak's base on; the first ones are internal.
const (
	frontPort = iota + 10
	readyPort
	directoryPort
	operatorPort
	portsUsed
	internalPorts = 5
)

const (
	graceTime = 4 * time.Second
	// stopSlack is how much later than the grace period a process may be gone.
	stopSlack = 3 * time.Second
	memoryMB  = 284
	// settleTime is longer than a process takes to reach its main function.
	settleTime = 200 * time.Millisecond
)

// daemon is one instance; its process comes and goes. Faults to one daemon are
// injected one after the other: mu is held while one lasts.
type daemon struct {
	s      *Soak
	name   string
	ip     string
	stored bool

	mu      sync.Mutex
	process *fleet.Process
	started time.Time
}

func (s *Soak) newDaemon(i int) *daemon {
	return &daemon{
		s:      s,
		name:   fmt.Sprintf("e%d", i+1),
		ip:     fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200),
		stored: i < s.cfg.Replicas,
	}
}

func (d *daemon) at(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.s.base+port) }

func (d *daemon) dataDir() string { return filepath.Join(d.s.cfg.Dir, "data-"+d.name) }

// start starts the process. The caller holds mu.
func (d *daemon) start(first bool) error {
	seeds := ""
	for i := range min(3, d.s.cfg.Replicas) {
		if i > 0 {
			seeds += ","
		}
		seeds += d.s.daemons[i].at(operatorPort)
	}
	args := []string{
		"-instance", d.name, "-failure-domain", "a", "-ip", d.ip,
		"-front", d.at(frontPort), "-ready", d.at(readyPort), "-directory", d.at(directoryPort), "-operator", d.at(operatorPort),
		"-ports", fmt.Sprintf("%d,%d", d.s.base, d.s.base+internalPorts-1),
		"-seeds", seeds, fmt.Sprintf("-first-start=%t", first),
		"-list", d.s.listing.http.Listener.Addr().String(),
		"-grace-s", fmt.Sprint(graceTime.Seconds()), "-revoke-ms", fmt.Sprint(d.s.record.Bounds.Revoke.Milliseconds()),
		"-memory-mb", fmt.Sprint(memoryMB), "-cores", "1",
	}
	if d.stored {
		args = append(args, "-data-dir", d.dataDir())
	}
	var err error
	d.started = time.Now()
	d.process, err = fleet.Launch(filepath.Join(d.s.cfg.Bin, "camphord"), d.s.cfg.Dir, d.name, d.at(frontPort), args)
	return err
}

// kill kills the process and starts it again after a pause, with what between
// does to its files in the meantime.
func (d *daemon) kill(pause time.Duration, between func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process.Kill()
	if between != nil {
		if err := between(); err != nil {
			return fault.Wrap(fault.Internal, d.name, err)
		}
	}
	time.Sleep(pause)
	return d.start(false)
}

// settle waits until the process has had the time to reach its main function:
// before that no program can take a signal.
func (d *daemon) settle() { time.Sleep(time.Until(d.started.Add(settleTime))) }

// stop stops the process gracefully and checks that it ends well and in time.
func (d *daemon) stop() error {
	d.settle()
	if err := d.process.Signal(syscall.SIGTERM); err != nil {
		return fault.Wrap(fault.Internal, d.name, err)
	}
	if err := d.process.Wait(graceTime + stopSlack); err != nil {
		d.s.record.Breaks("planned stops end well and in time", d.name+": "+err.Error())
		d.process.Kill()
	}
	return nil
}

// restart stops the process gracefully and starts it again.
func (d *daemon) restart() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.stop(); err != nil {
		return err
	}
	return d.start(false)
}

// freeze stops the process for a while, as a machine that hangs.
func (d *daemon) freeze(span time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.process.Signal(syscall.SIGSTOP); err != nil {
		return fault.Wrap(fault.Internal, d.name, err)
	}
	time.Sleep(span)
	return d.process.Signal(syscall.SIGCONT)
}

// loseDisk removes what the process had on disk.
func (d *daemon) loseDisk() error { return os.RemoveAll(d.dataDir()) }

// tearTail appends bytes to the newest files of the log, as a write that was cut
// off by a loss of power leaves them.
func (d *daemon) tearTail() error {
	logs, err := filepath.Glob(filepath.Join(d.dataDir(), "*.log"))
	if err != nil || len(logs) == 0 {
		return err
	}
	f, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write([]byte{0, 0, 0, 40, 1, 2, 3})
	return err
}
