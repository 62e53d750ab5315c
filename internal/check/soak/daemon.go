package soak

// This file defines daemon, an instance of the fleet that runs as a process.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/fleet"
)

// The ports of a daemon, as indexes into the soak's range of ports. The first
// internalPortCount are for its internal listeners.
const (
	frontPort = iota + 10
	readyPort
	directoryPort
	operatorPort
	// backendPort is that of a backend server.
	backendPort
	internalPortCount = 5
)

const (
	// defaultGrace is the grace period of a planned stop.
	defaultGrace = 4 * time.Second
	// stopSlack is how long after the grace period a process may still take to exit.
	stopSlack = 3 * time.Second
	memoryMB  = 284
	// startupTime is longer than a process takes from its start to its main function, unless the
	// machine is busy.
	startupTime = 200 * time.Millisecond
	// maxSeeds is the largest number of seeds.
	maxSeeds = 3
	// daemonSequence selects the random sequence of the first daemon.
	daemonSequence = 1000
)

// daemon is one instance, whose process is stopped and started again by faults.
// Faults of one daemon never overlap: mu is held for as long as one lasts.
type daemon struct {
	s       *Soak
	name    string
	ip      string
	hasDisk bool

	mu      sync.Mutex
	process *fleet.Process
	started time.Time
	// rng draws the signals during a stop.
	rng *rand.Rand
}

func (s *Soak) newDaemon(i int) *daemon {
	return &daemon{
		s:       s,
		name:    fmt.Sprintf("e%d", i+1),
		ip:      fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200),
		hasDisk: i < s.cfg.Replicas,
		rng:     rand.New(rand.NewPCG(s.cfg.Seed, uint64(daemonSequence+i))),
	}
}

func (d *daemon) address(port int) string { return d.s.ports.Address(d.ip, port) }

func (d *daemon) dataDir() string { return filepath.Join(d.s.cfg.Dir, "data-"+d.name) }

// start starts the process with firstStart as the value of its -first-start flag.
// Once faults are injected the caller must hold mu.
func (d *daemon) start(firstStart bool) error {
	seeds := ""
	for i := range min(maxSeeds, d.s.cfg.Replicas) {
		if i > 0 {
			seeds += ","
		}
		seeds += d.s.daemons[i].address(operatorPort)
	}
	args := []string{
		"-instance", d.name, "-failure-domain", "a", "-ip", d.ip,
		"-front", d.address(frontPort), "-ready", d.address(readyPort), "-directory", d.address(directoryPort), "-operator", d.address(operatorPort),
		"-ports", fmt.Sprintf("%d,%d", d.s.ports.First, d.s.ports.First+internalPortCount-1),
		"-seeds", seeds, fmt.Sprintf("-first-start=%t", firstStart),
		"-list", d.s.serverList.server.Listener.Addr().String(),
		"-grace-s", fmt.Sprint(d.s.cfg.Grace.Seconds()), "-revoke-ms", fmt.Sprint(d.s.checker.Bounds.Revoke.Milliseconds()),
		"-retry-ratio", fmt.Sprint(retryRatio), "-retry-slack", fmt.Sprint(d.s.retrySlack()), "-retry-window-s", fmt.Sprint(retryWindow.Seconds()),
		"-memory-mb", fmt.Sprint(memoryMB), "-cores", "1",
	}
	if d.hasDisk {
		args = append(args, "-data-dir", d.dataDir())
	}
	var err error
	d.started = time.Now()
	d.process, err = fleet.Launch(filepath.Join(d.s.cfg.Bin, "camphord"), d.s.cfg.Dir, d.name, d.address(frontPort), args)
	return err
}

// crash kills the process and starts it again after a pause. Unless it is
// nil, whileDown is called before the pause, for instance to damage files.
func (d *daemon) crash(pause time.Duration, whileDown func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.disturb("killed")()
	d.process.Kill()
	if whileDown != nil {
		if err := whileDown(); err != nil {
			return fault.Wrap(fault.Internal, d.name, err)
		}
	}
	time.Sleep(pause)
	return d.start(false)
}

// disturb records and logs that the daemon is disturbed until the returned function is called.
func (d *daemon) disturb(how string) func() {
	d.s.log(how, d.name)
	end := d.s.checker.Disturb(d.address(frontPort))
	return func() {
		end()
		d.s.log("running", d.name)
	}
}

// awaitStartup waits until the process has had time to reach its main function: before that no program
// can handle a signal. On a busy machine that takes longer than startupTime, so another process of the
// same program, which is started later, has to have ended as well.
func (d *daemon) awaitStartup() error {
	time.Sleep(time.Until(d.started.Add(startupTime)))
	if err := exec.Command(filepath.Join(d.s.cfg.Bin, "camphord"), "-version").Run(); err != nil {
		return fault.Wrap(fault.Internal, d.name, err)
	}
	return nil
}

// stop stops the process gracefully and checks that it exits without an error
// within the grace period and stopSlack.
func (d *daemon) stop() error {
	if err := d.awaitStartup(); err != nil {
		return err
	}
	d.s.checker.Stopping(d.address(frontPort), d.s.cfg.Grace)
	if err := d.process.Signal(syscall.SIGTERM); err != nil {
		return fault.Wrap(fault.Internal, d.name, err)
	}
	d.signalAgain()
	if err := d.process.Wait(d.s.cfg.Grace + stopSlack); err != nil {
		d.s.checker.AddViolation("graceful stops succeed in time", d.name+": "+err.Error())
		d.process.Kill()
	}
	return nil
}

// signalAgain sends the stopping process some further signals of the kinds that it gets in
// planned operations: they come in series.
func (d *daemon) signalAgain() {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if d.rng.IntN(3) != 0 {
			continue
		}
		delay := time.Duration(d.rng.Int64N(int64(d.s.cfg.Grace)))
		process := d.process
		time.AfterFunc(delay, func() {
			if ended, _ := process.Exited(); !ended && process.Signal(signal) == nil {
				d.s.checker.Count("signals during a stop")
			}
		})
	}
}

// restart stops the process gracefully and starts it again.
func (d *daemon) restart() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.disturb("stopped")()
	if err := d.stop(); err != nil {
		return err
	}
	return d.start(false)
}

// freeze suspends the process for a while, as on a machine that hangs.
func (d *daemon) freeze(duration time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.disturb("frozen")()
	if err := d.process.Signal(syscall.SIGSTOP); err != nil {
		return fault.Wrap(fault.Internal, d.name, err)
	}
	time.Sleep(duration)
	return d.process.Signal(syscall.SIGCONT)
}

// deleteData deletes the process's data folder, as the loss of its disk does.
func (d *daemon) deleteData() error { return os.RemoveAll(d.dataDir()) }

// appendTornRecord appends an incomplete record to the newest log file, which
// simulates a write that a power failure interrupted.
func (d *daemon) appendTornRecord() error {
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
