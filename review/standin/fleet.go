package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a daemon from the base port of the fleet. The first ones are
// for traffic between daemons.
const (
	internalPorts = 8
	frontPort     = internalPorts + iota
	readyPort
	directoryPort
	controlPort
	metricsPort
	portCount
)

// Fleet is a set of daemons. Each has its own loopback address, and all use the same ports.
type Fleet struct {
	env      *Env
	basePort int
	platform string
	seeds    []int
	Daemons  []*Daemon
}

// Daemon is one machine of the fleet with its process.
type Daemon struct {
	Name string
	Zone string
	Disk bool
	ip   string

	fleet *Fleet
	mu    sync.Mutex
	cmd   *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// newFleet prepares daemons: disks machines with a disk, which are also the seeds, and
// plain ones without. Machine i is in zone i modulo 3.
func newFleet(env *Env, disks, plain int, platform string) (*Fleet, error) {
	f := &Fleet{
		env:      env,
		platform: platform,
	}
	for i := range disks + plain {
		f.Daemons = append(f.Daemons, &Daemon{
			Name:  fmt.Sprintf("front-%d", i+1),
			Zone:  "zone-" + string(rune('a'+i%3)),
			Disk:  i < disks,
			ip:    fmt.Sprintf("127.77.0.%d", i+1),
			fleet: f,
		})
		if i < min(disks, 3) {
			f.seeds = append(f.seeds, i)
		}
	}
	env.fleets = append(env.fleets, f)
	var err error
	f.basePort, err = f.freePorts()
	return f, err
}

// freePorts returns the first of portCount ports that are free on all machines.
func (f *Fleet) freePorts() (int, error) {
	for try := range 50 {
		base := 20000 + (os.Getpid()*37+try*101)%12000
		if f.portsAreFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("found no free ports")
}

func (f *Fleet) portsAreFree(base int) bool {
	for _, d := range f.Daemons {
		for offset := range portCount {
			l, err := net.Listen("tcp", net.JoinHostPort(d.ip, strconv.Itoa(base+offset)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *Daemon) address(offset int) string {
	return net.JoinHostPort(d.ip, strconv.Itoa(d.fleet.basePort+offset))
}

// Front, Ready, Directory and Control return the addresses that the daemon serves.
func (d *Daemon) Front() string     { return d.address(frontPort) }
func (d *Daemon) Ready() string     { return d.address(readyPort) }
func (d *Daemon) Directory() string { return d.address(directoryPort) }
func (d *Daemon) Control() string   { return d.address(controlPort) }

// section matches a part of the template that is left out if the platform has no value for it.
var section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)

// settings fills in the template of the deploy file with the bounds of the smallest site.
func (d *Daemon) settings(bootstrap bool) (string, error) {
	b, err := os.ReadFile(filepath.Join(d.fleet.env.Root, "deploy", "camphord.settings"))
	if err != nil {
		return "", err
	}
	text := string(b)
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		// The site has no value for the other sections.
		m := section.FindStringSubmatch(s)
		if m[1] != "dataDirectory" || !d.Disk {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", d.dataDir())
	})
	var seeds []string
	for _, i := range d.fleet.seeds {
		seeds = append(seeds, d.fleet.Daemons[i].Control())
	}
	values := map[string]string{
		"nodeName":                  d.Name,
		"zone":                      d.Zone,
		"ip":                        d.ip,
		"listenAddresses.front":     d.Front(),
		"listenAddresses.ready":     d.Ready(),
		"listenAddresses.directory": d.Directory(),
		"listenAddresses.control":   d.Control(),
		"internalPorts":             fmt.Sprintf("%d,%d", d.fleet.basePort, d.fleet.basePort+internalPorts-1),
		"seeds":                     strings.Join(seeds, ","),
		"bootstrap":                 strconv.FormatBool(bootstrap),
		"cloud.address":             d.fleet.platform,
		"cloud.ratePerS":            "42.0",
		"limits.linkMbps":           "1000.0",
		"limits.memoryMb":           "284",
		"limits.cores":              "1",
		"limits.cpuShare":           "0.72",
		"tolerance.machines":        "1",
		"bounds.graceS":             "8",
		"bounds.revokeMs":           "5000",
		"bounds.imbalanceFactor":    "2",
		"bounds.budgetRatio":        "0.2",
		"bounds.budgetSlack":        "60",
		"bounds.budgetWindowS":      "10",
	}
	for name, v := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", v)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the settings template has placeholders that are not filled in: %s", text)
	}
	// The metrics port of the template is fixed; another run may use it.
	return strings.ReplaceAll(text, d.ip+":9464", d.address(metricsPort)), nil
}

func (d *Daemon) dataDir() string { return filepath.Join(d.fleet.env.Dir, d.Name, "data") }

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start(bootstrap bool) error {
	text, err := d.settings(bootstrap)
	if err != nil {
		return err
	}
	dir := filepath.Join(d.fleet.env.Dir, d.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, "local.settings")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(d.fleet.env.Root, "target", "camphord"), "-config", path)
	cmd.Dir = d.fleet.env.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.fleet.env.Log("start", "machine", d.Name, "bootstrap", bootstrap, "disk", d.Disk)
	go func() {
		err := cmd.Wait()
		d.fleet.env.Log("exit", "machine", d.Name, "status", fmt.Sprint(err))
		close(exited)
	}()
	return nil
}

// StartAll starts all daemons for the first time.
func (f *Fleet) StartAll() error {
	for _, d := range f.Daemons {
		if err := d.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.env.Log("signal", "machine", d.Name, "signal", s)
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// AwaitExit waits for the end of the process and reports whether it came in time.
func (d *Daemon) AwaitExit(timeout time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Log returns the lines that the daemon has logged.
func (d *Daemon) Log() string {
	b, _ := os.ReadFile(filepath.Join(d.fleet.env.Dir, d.Name, "log"))
	return string(b)
}

// Close kills all processes of the fleet.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.mu.Lock()
		cmd, exited := d.cmd, d.exited
		d.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-exited:
			continue
		default:
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
}
