package main

// This file starts daemons as the deploy file does, on loopback addresses.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemonSpec says how a daemon of a fleet is set up.
type daemonSpec struct {
	zone string
	disk bool
}

// daemon is one machine of the fleet with its process.
type daemon struct {
	fleet *fleet
	name  string
	ip    string
	spec  daemonSpec
	dir   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	// started is true once the process was started for the first time.
	started bool
	log     *os.File
}

// fleet is a small deployment.
type fleet struct {
	rec     *recorder
	dir     string
	program string
	// template is the text of the settings template of the deploy file.
	template string
	base     int
	net      string
	daemons  []*daemon
	list     string
}

const (
	frontPort = iota
	readyPort
	directoryPort
	controlPort
	internalPort = 10
)

// newFleet prepares a fleet. root is the repository.
func newFleet(rec *recorder, root string, specs []daemonSpec, list string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "camphord.settings"))
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec:      rec,
		dir:      dir,
		program:  filepath.Join(root, "target", "camphord"),
		template: string(text),
		net:      fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%200),
		list:     list,
	}
	for i, s := range specs {
		d := &daemon{
			fleet: f,
			name:  fmt.Sprintf("front-%s-%d", s.zone, i+1),
			ip:    fmt.Sprintf("%s.%d", f.net, i+1),
			spec:  s,
			dir:   filepath.Join(dir, fmt.Sprintf("d%d", i+1)),
		}
		f.daemons = append(f.daemons, d)
	}
	f.base, err = freePorts(f.daemons)
	return f, err
}

// freePorts returns the first of a block of ports that are free at every address.
func freePorts(daemons []*daemon) (int, error) {
	for base := 21000 + os.Getpid()%997*17; base < 60000; base += 40 {
		free := true
		for _, d := range daemons {
			for o := range 30 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip, base+o))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (d *daemon) address(offset int) string {
	return fmt.Sprintf("%s:%d", d.ip, d.fleet.base+offset)
}

// settings fills in the template of the deploy file.
func (d *daemon) settings() string {
	f := d.fleet
	var seeds []string
	for _, s := range f.daemons {
		if s.spec.disk && len(seeds) < 3 {
			seeds = append(seeds, s.address(controlPort))
		}
	}
	values := map[string]string{
		"nodeName":                  d.name,
		"zone":                      d.spec.zone,
		"ip":                        d.ip,
		"listenAddresses.front":     d.address(frontPort),
		"listenAddresses.ready":     d.address(readyPort),
		"listenAddresses.directory": d.address(directoryPort),
		"listenAddresses.control":   d.address(controlPort),
		"internalPorts":             fmt.Sprintf("%d,%d", f.base+internalPort, f.base+internalPort+15),
		"seeds":                     strings.Join(seeds, ","),
		"bootstrap":                 fmt.Sprint(!d.started),
		"cloud.address":             f.list,
		"cloud.ratePerS":            "42.0",
		"limits.linkMbps":           "1000.0",
		"limits.memoryMb":           "284",
		"limits.cores":              "1",
		"limits.cpuShare":           map[bool]string{true: "0.72", false: "0.4"}[d.spec.disk],
		"tolerance.machines":        "1",
		"bounds.graceS":             "8",
		"bounds.revokeMs":           "5000",
		"bounds.imbalanceFactor":    "2",
		"bounds.budgetRatio":        "0.2",
		"bounds.budgetSlack":        "60",
		"bounds.budgetWindowS":      "10",
	}
	text := f.template
	begin, end := "{{#dataDirectory}}", "{{/dataDirectory}}"
	if i, j := strings.Index(text, begin), strings.Index(text, end); i >= 0 && j > i {
		section := ""
		if d.spec.disk {
			section = strings.ReplaceAll(text[i+len(begin):j], "{{.}}", filepath.Join(d.dir, "data"))
		}
		text = text[:i] + section + text[j+len(end):]
	}
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	return text
}

// start starts the process of a daemon.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(d.dir, "settings")
	if err := os.WriteFile(path, []byte(d.settings()), 0o644); err != nil {
		return err
	}
	if d.log == nil {
		var err error
		if d.log, err = os.Create(filepath.Join(d.dir, "log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(d.fleet.program, "-config", path)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORD_COLD_OVERAGE=", "CAMPHORD_COLD_SLACK=", "CAMPHORD_FILE_DESCRIPTORS=4100"}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.done = cmd, make(chan struct{})
	d.stopped, d.started = false, true
	d.fleet.rec.note("start %s %s pid=%d", d.name, d.ip, cmd.Process.Pid)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		d.mu.Lock()
		d.fleet.rec.note("exit %s pid=%d: %v stopped=%v", d.name, cmd.Process.Pid, err, d.stopped)
		d.mu.Unlock()
		close(done)
	}(cmd, d.done)
	return nil
}

// signal sends a signal to the process. After SIGKILL and SIGTERM its end is expected.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.stopped = true
	}
	d.fleet.rec.note("signal %v to %s", s, d.name)
	_ = d.cmd.Process.Signal(s)
}

// await waits until the process has ended, and reports whether it has in time.
func (d *daemon) await(timeout time.Duration) bool {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	c := http.Client{
		Timeout:   time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	resp, err := c.Get("http://" + d.address(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, d := range f.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				f.rec.note("%s is not ready", d.name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// stop ends all processes that were started, and removes the folder.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	for _, d := range f.daemons {
		d.await(5 * time.Second)
	}
	if os.Getenv("KEEP") != "" {
		f.rec.note("the logs of the daemons are in %s", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}

// operator sends configurations as the operator does: to one daemon after another, until one gives a
// clear answer.
type operator struct {
	f      *fleet
	client http.Client
}

func newOperator(f *fleet) *operator {
	return &operator{
		f:      f,
		client: http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// send sends a configuration once and returns the status, zero if there was no answer.
func (o *operator) send(d *daemon, config map[string]any) int {
	body, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	url := "http://" + d.address(controlPort) + "/api/configuration/replace"
	resp, err := o.client.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		o.f.rec.note("operator: version %v to %s: %v", config["version"], d.name, err)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	o.f.rec.note("operator: version %v to %s: %d %s", config["version"], d.name, resp.StatusCode, text)
	return resp.StatusCode
}

// apply sends a configuration to some daemons in turn, until one acknowledges or refuses it.
func (o *operator) apply(to []*daemon, config map[string]any, timeout time.Duration) int {
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		s := o.send(to[i%len(to)], config)
		if s == 200 || s >= 400 && s < 500 && s != 408 && s != 429 {
			return s
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
