// Package fleet starts daemons as a small deployment does, and the stand-ins of the
// platform, of runners, of the operator and of clients around them.
package fleet

// This file defines Fleet, its daemons and the record of what was seen.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that each daemon uses on its own loopback address.
const (
	FrontPort     = 8227
	ReadyPort     = 8220
	ControlPort   = 8229
	DirectoryPort = 8224
	metricsPort   = 9464
	firstInternal = 7340
	lastInternal  = 7355
)

// Site holds the bounds of a deployment and the sizes of its machines.
type Site struct {
	Name string
	// Zones holds the names of its zones.
	Zones []string
	// Tolerance is the number of machines of the core that may be lost.
	Tolerance int
	// StableWindow, Ack, Drain, Grace, Recover and ConfigPropagation are the bounds of those names.
	StableWindow      time.Duration
	Ack               time.Duration
	Drain             time.Duration
	Grace             time.Duration
	Recover           time.Duration
	ConfigPropagation time.Duration
	RevokeMs          int
	BudgetSlack       int
	MemoryMb          int
	CPUShare          float64
	Descriptors       int
	LinkMbps          int
	// ListLag is by how much the platform's list lags.
	ListLag time.Duration
}

// Skeena is the deployment skeena-bench.
var Skeena = Site{
	Name:              "skeena-bench",
	Zones:             []string{"terrace", "smithers", "kitimat"},
	Tolerance:         1,
	StableWindow:      3 * time.Second,
	Ack:               4 * time.Second,
	Drain:             3 * time.Second,
	Grace:             8 * time.Second,
	Recover:           12 * time.Second,
	ConfigPropagation: 2 * time.Second,
	RevokeMs:          5000,
	BudgetSlack:       60,
	MemoryMb:          284,
	CPUShare:          0.72,
	Descriptors:       4100,
	LinkMbps:          1000,
	ListLag:           800 * time.Millisecond,
}

// Dasan is the deployment dasan-bridge-grown, with fewer machines.
var Dasan = Site{
	Name:              "dasan-bridge-grown",
	Zones:             []string{"kr-central-a", "kr-central-b", "kr-central-c"},
	Tolerance:         1,
	StableWindow:      4 * time.Second,
	Ack:               5 * time.Second,
	Drain:             4 * time.Second,
	Grace:             8 * time.Second,
	Recover:           15 * time.Second,
	ConfigPropagation: 2500 * time.Millisecond,
	RevokeMs:          5000,
	BudgetSlack:       280,
	MemoryMb:          184,
	CPUShare:          0.512,
	Descriptors:       4100,
	LinkMbps:          100,
	ListLag:           800 * time.Millisecond,
}

// Fleet is a set of daemons and the stand-ins around them.
type Fleet struct {
	Site Site
	// Trouble is false when the case runs without its disruption.
	Trouble bool
	Daemons []*Daemon
	// Dir is a temporary folder, Subnet the begin of all addresses.
	Dir    string
	Subnet string
	List   *List

	cuts   cutSet
	tries  Tries
	begun  time.Time
	mu     sync.Mutex
	record *os.File
	closed bool
}

// Daemon is one process of the system, on its own loopback address.
type Daemon struct {
	Name string
	Zone string
	IP   string
	Disk bool

	fleet *Fleet
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// Starts counts the starts of the process.
	Starts int
}

// New returns a fleet without processes. The record is written to record.txt in the folder of the
// case.
func New(site Site, caseDir string, disks, others int) (*Fleet, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Site:    site,
		Trouble: os.Getenv("TROUBLE") != "0",
		Dir:     dir,
		begun:   time.Now(),
		record:  record,
	}
	if f.Subnet, err = freeSubnet(disks + others); err != nil {
		return nil, err
	}
	for i := range disks + others {
		f.Daemons = append(f.Daemons, &Daemon{
			Name:  fmt.Sprintf("front-%s-%d", site.Zones[i%3], 1+i/3),
			Zone:  site.Zones[i%3],
			IP:    fmt.Sprintf("%s.%d", f.Subnet, 11+i),
			Disk:  i < disks,
			fleet: f,
		})
	}
	if f.List, err = newList(f); err != nil {
		return nil, err
	}
	f.Logf("site %s; daemons: %d with a disk, %d without; trouble: %v", site.Name, disks, others, f.Trouble)
	return f, nil
}

// freeSubnet returns the first three numbers of loopback addresses on which no port is in use.
func freeSubnet(n int) (string, error) {
	for try := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 40+(os.Getpid()+try)%180, 1+(os.Getpid()/180+try)%250)
		if isFree(subnet, n) {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(subnet string, n int) bool {
	for i := range n {
		for _, port := range []int{FrontPort, ReadyPort, ControlPort, DirectoryPort, metricsPort, firstInternal, firstInternal + 1, firstInternal + 2} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, 11+i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// Logf writes one line to the record, with the time since the begin.
func (f *Fleet) Logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = f.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.Signal(syscall.SIGCONT)
		d.Kill()
	}
	f.List.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.record.Close()
}

// Start starts all daemons, for the first time.
func (f *Fleet) Start() error {
	for _, d := range f.Daemons {
		if err := d.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// Seeds returns the control addresses of the first three daemons with a disk.
func (f *Fleet) seeds() string {
	var out []string
	for _, d := range f.Daemons {
		if d.Disk && len(out) < 3 {
			out = append(out, fmt.Sprintf("%s:%d", d.IP, ControlPort))
		}
	}
	return strings.Join(out, ",")
}

// Front returns the address for clients.
func (d *Daemon) Front() string { return fmt.Sprintf("%s:%d", d.IP, FrontPort) }

// Control returns the address for the operator.
func (d *Daemon) Control() string { return fmt.Sprintf("%s:%d", d.IP, ControlPort) }

// Ready reports whether the readiness check answers 200.
func (d *Daemon) Ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", d.IP, ReadyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// values returns the fields of the platform's settings.
func (d *Daemon) values(bootstrap bool) map[string]string {
	site := d.fleet.Site
	v := map[string]string{
		"nodeName":                  d.Name,
		"zone":                      d.Zone,
		"ip":                        d.IP,
		"listenAddresses.front":     d.Front(),
		"listenAddresses.ready":     fmt.Sprintf("%s:%d", d.IP, ReadyPort),
		"listenAddresses.directory": fmt.Sprintf("%s:%d", d.IP, DirectoryPort),
		"listenAddresses.control":   d.Control(),
		"internalPorts":             fmt.Sprintf("%d,%d", firstInternal, lastInternal),
		"seeds":                     d.fleet.seeds(),
		"bootstrap":                 fmt.Sprint(bootstrap),
		"cloud.address":             d.fleet.List.Address,
		"cloud.ratePerS":            "42",
		"limits.linkMbps":           fmt.Sprint(site.LinkMbps),
		"limits.memoryMb":           fmt.Sprint(site.MemoryMb),
		"limits.cores":              "1",
		"limits.cpuShare":           fmt.Sprint(site.CPUShare),
		"limits.fileDescriptors":    fmt.Sprint(site.Descriptors),
		"tolerance.machines":        fmt.Sprint(site.Tolerance),
		"bounds.graceS":             fmt.Sprint(site.Grace.Seconds()),
		"bounds.revokeMs":           fmt.Sprint(site.RevokeMs),
		"bounds.imbalanceFactor":    "2",
		"bounds.budgetRatio":        "0.2",
		"bounds.budgetSlack":        fmt.Sprint(site.BudgetSlack),
		"bounds.budgetWindowS":      "10",
	}
	if d.Disk {
		v["dataDirectory"] = d.DataDir()
	}
	return v
}

// DataDir is the folder of the daemon's disk.
func (d *Daemon) DataDir() string { return filepath.Join(d.fleet.Dir, d.Name, "data") }

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)\}\}`)
)

// render fills in a template of the deploy file.
func render(text string, values map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return values[placeholder.FindStringSubmatch(s)[1]]
	})
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start(bootstrap bool) error {
	dir := filepath.Join(d.fleet.Dir, d.Name)
	if err := os.MkdirAll(d.DataDir(), 0o755); err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/camphord.settings")
	if err != nil {
		return err
	}
	values := d.values(bootstrap)
	config := filepath.Join(dir, "local.yaml")
	if err := os.WriteFile(config, []byte(render(string(template), values)), 0o644); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Starts++
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("log-%d.txt", d.Starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/camphord", "-config", config)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"CAMPHORD_COLD_OVERAGE=", "CAMPHORD_COLD_SLACK=", "CAMPHORD_FILE_DESCRIPTORS=" + values["limits.fileDescriptors"],
		"CAMPHORSPOKE_SETTINGS=" + config,
	}
	cmd.Stdout, cmd.Stderr = log, log
	// The processes end with this one, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	d.fleet.Logf("%s (%s) starts, bootstrap %v", d.Name, d.IP, bootstrap)
	go func() {
		err := cmd.Wait()
		d.fleet.Logf("%s ended: %v", d.Name, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if it runs.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	default:
		_ = cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.Wait()
}

// Wait waits for the end of the process.
func (d *Daemon) Wait() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ErrNoAnswer is returned for an operator's order without a clear answer in time.
var ErrNoAnswer = errors.New("no clear answer")

// Replace sends a configuration like an operator: to one daemon after the other, until one
// acknowledges or refuses it, for limit at most. It returns the status and how long it took.
func (f *Fleet) Replace(body []byte, limit time.Duration, to ...*Daemon) (status int, took time.Duration, err error) {
	if len(to) == 0 {
		to = f.Daemons
	}
	begun := time.Now()
	pause := 100 * time.Millisecond
	for i := 0; time.Since(begun) < limit; i++ {
		d := to[i%len(to)]
		status, answer, err := call(http.MethodPost, fmt.Sprintf("http://%s/api/configuration/replace", d.Control()), body, min(time.Second, max(limit-time.Since(begun), time.Millisecond)))
		f.Logf("operator: configuration to %s: status %d %s %v", d.Name, status, bytes.TrimSpace(answer), err)
		if err == nil && (status == http.StatusOK || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
			return status, time.Since(begun), nil
		}
		time.Sleep(min(pause, max(limit-time.Since(begun), 0)))
		pause = min(2*pause, time.Second)
	}
	return 0, time.Since(begun), ErrNoAnswer
}

func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// AwaitReady waits until a number of daemons say that they are ready.
func (f *Fleet) AwaitReady(n int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range f.Daemons {
			if d.Ready() {
				ready++
			}
		}
		if ready >= n {
			f.Logf("%d daemons are ready", ready)
			return true
		}
	}
	return false
}
