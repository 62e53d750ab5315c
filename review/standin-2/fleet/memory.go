package fleet

// This file defines the platform's limit on the memory of a process.

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryInterval is the time between two looks at the memory of a process, restartDelay how long
	// after its end the platform starts it again.
	memoryInterval = 50 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	// logInterval is the time between two lines of the record on the memory of a process.
	logInterval = 5 * time.Second
	kilobytes   = 1024
)

// LimitMemory ends the process of a daemon, as the platform does, whenever it uses more than the memory
// of its machine, and starts it again, until stop is closed. It returns how often it has ended it.
func (d *Daemon) LimitMemory(stop <-chan struct{}) (ends int, err error) {
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	next := time.Now()
	for {
		select {
		case <-stop:
			return ends, nil
		case <-t.C:
		}
		used := d.memoryMb()
		if time.Now().After(next) {
			next = time.Now().Add(logInterval)
			d.fleet.Logf("%s uses %d MB", d.Name, used)
		}
		if used <= d.fleet.Site.MemoryMb {
			continue
		}
		ends++
		d.fleet.Logf("platform: %s uses %d MB, more than %d, and is killed; time %d", d.Name, used, d.fleet.Site.MemoryMb, ends)
		d.Kill()
		time.Sleep(restartDelay)
		if err := d.Start(false); err != nil {
			return ends, err
		}
	}
}

// memoryMb returns the resident memory of the process in MB; zero if it is not known.
func (d *Daemon) memoryMb() int {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		value, ok := strings.CutPrefix(lines.Text(), "VmRSS:")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
		if err != nil {
			return 0
		}
		return n / kilobytes
	}
	return 0
}
