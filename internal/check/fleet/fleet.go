// Package fleet starts a fleet of daemons on loopback, each as a process of its
// own, together with stand-ins for the platform's list and for the backend
// servers. Tests, measurements and the demo use it; the daemons don't.
package fleet

// This file defines Fleet.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/portrange"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// Fleet is a running fleet.
type Fleet struct {
	Topology Topology
	// Dir holds the logs and the data folders of the processes.
	Dir string
	// Platform, Engines and PlainServers are the stand-ins for the platform's
	// list, the model engines and the servers of the plain service.
	Platform     *Process
	Engines      []*Process
	PlainServers []*Process
	// Daemons are the routers, of which the first Topology.Replicas also run
	// a replica of the control group.
	Daemons []*Process

	binDir       string
	releasePorts func()
	// mu guards processes, which holds every process ever started.
	mu        sync.Mutex
	processes []*Process
}

// Start starts all processes of the deployment that topology describes, from the
// programs in bin, with logs and data folders below dir. The returned function
// kills the processes that still run.
func Start(bin, dir string, topology Topology) (*Fleet, func(), error) {
	f := &Fleet{
		Topology: topology,
		Dir:      dir,
		binDir:   bin,
	}
	if err := f.startAll(); err != nil {
		f.killAll()
		return nil, nil, err
	}
	return f, f.killAll, nil
}

func (f *Fleet) startAll() error {
	if n := 1 + f.Topology.Engines + f.Topology.PlainServers + 3*f.Topology.Daemons; n > portrange.Size {
		return fault.New(fault.Internal, "ports", fmt.Sprintf("the deployment needs %d ports, of %d in a range", n, portrange.Size))
	}
	ports, release, err := portrange.New()
	if err != nil {
		return err
	}
	f.releasePorts = release
	usedPorts := 0
	nextAddress := func() string {
		address := ports.Address("127.0.0.1", usedPorts)
		usedPorts++
		return address
	}
	platformAddress := nextAddress()
	var listEntries []string
	for i := range f.Topology.Engines {
		name, addr := fmt.Sprintf("%s-%d", f.Topology.EngineService, i+1), nextAddress()
		args := append([]string{"engine", "-name", name, "-listen", addr, "-slots", fmt.Sprint(f.Topology.Slots), "-cache-tokens", fmt.Sprint(f.Topology.CacheTokens)}, f.Topology.EngineFlags...)
		p, err := f.launch("camphor-standin", name, addr, args)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, p)
		listEntries = append(listEntries, f.listEntry(name, f.Topology.EngineService, addr, i))
	}
	for i := range f.Topology.PlainServers {
		name, addr := fmt.Sprintf("%s-%d", f.Topology.PlainService, i+1), nextAddress()
		p, err := f.launch("camphor-standin", name, addr, append([]string{"plain", "-listen", addr}, f.Topology.PlainFlags...))
		if err != nil {
			return err
		}
		f.PlainServers = append(f.PlainServers, p)
		listEntries = append(listEntries, f.listEntry(name, f.Topology.PlainService, addr, i))
	}
	f.Platform, err = f.launch("camphor-standin", "platform", platformAddress, []string{"platform", "-listen", platformAddress, "-servers", strings.Join(listEntries, ",")})
	if err != nil {
		return err
	}
	return f.startDaemons(nextAddress)
}

// listEntry returns the entry of the i-th server of a service for the -servers
// flag of the platform's stand-in.
func (f *Fleet) listEntry(name, service, addr string, i int) string {
	return fmt.Sprintf("%s/%s/%s/%s/%d/%d", name, service, addr, f.Topology.Domains[i%len(f.Topology.Domains)], f.Topology.Slots, f.Topology.CacheTokens)
}

func (f *Fleet) startDaemons(nextAddress func() string) error {
	var controlMembers []string
	controlAddresses := make([]string, f.Topology.Replicas)
	for i := range controlAddresses {
		controlAddresses[i] = nextAddress()
		controlMembers = append(controlMembers, fmt.Sprintf("e%d=%s", i+1, controlAddresses[i]))
	}
	for i := range f.Topology.Daemons {
		name, listen := fmt.Sprintf("e%d", i+1), nextAddress()
		args := append([]string{
			"-instance", name, "-failure-domain", f.Topology.Domains[i%len(f.Topology.Domains)],
			"-listen", listen, "-peer-listen", nextAddress(), "-control", strings.Join(controlMembers, ","),
			"-platform", "http://" + f.Platform.Address,
		}, f.Topology.DaemonFlags...)
		if i < f.Topology.Replicas {
			args = append(args, "-control-listen", controlAddresses[i], "-data-dir", f.DataDir(i))
		}
		p, err := f.launch("camphord", name, listen, args)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, p)
	}
	return nil
}

// DataDir returns the data folder of the i-th daemon, which exists only for a
// control replica.
func (f *Fleet) DataDir(i int) string { return filepath.Join(f.Dir, fmt.Sprintf("data-e%d", i+1)) }

// Restart starts the i-th daemon again with the same arguments. The previous
// process must have exited.
func (f *Fleet) Restart(i int) error {
	old := f.Daemons[i]
	p, err := f.launch("camphord", old.Name, old.Address, old.args)
	if err != nil {
		return err
	}
	f.Daemons[i] = p
	return nil
}

func (f *Fleet) launch(program, name, address string, args []string) (*Process, error) {
	p, err := Launch(filepath.Join(f.binDir, program), f.Dir, name, address, args)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// killAll kills the processes that still run, each by its process id.
func (f *Fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
	if f.releasePorts != nil {
		f.releasePorts()
		f.releasePorts = nil
	}
}

// Addresses returns the caller addresses of the daemons.
func (f *Fleet) Addresses() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.Address)
	}
	return out
}

// AwaitReady waits until every daemon is ready: its rules are fresh and its view
// lists all instances, and all backend servers with an owner.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, d := range f.Daemons {
		for {
			err := f.checkReady(d)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fault.Wrap(fault.Internal, d.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// checkReady returns an error that states why a daemon is not ready yet, or nil.
func (f *Fleet) checkReady(d *Process) error {
	if exited, err := d.Exited(); exited {
		return fault.Wrap(fault.Internal, d.Name, errors.Join(errors.New("the process has exited"), err))
	}
	s, err := ReadDump(d.Address)
	if err != nil {
		return err
	}
	owned := 0
	for _, b := range s.BackendServers {
		if b.Owner != "" && !b.Gone {
			owned++
		}
	}
	if !s.Member.RulesFresh || owned < f.Topology.Engines+f.Topology.PlainServers || len(s.Instances) < f.Topology.Daemons {
		return fault.New(fault.NoEngine, d.Name, fmt.Sprintf("not ready: rules fresh %t, %d backend servers with an owner, %d instances", s.Member.RulesFresh, owned, len(s.Instances)))
	}
	return nil
}

// Leader returns the index of the daemon that is leader of the control group.
func (f *Fleet) Leader() (int, error) {
	for i := range f.Topology.Replicas {
		if exited, _ := f.Daemons[i].Exited(); exited {
			continue
		}
		if s, err := ReadDump(f.Daemons[i].Address); err == nil && s.Replica != nil && s.Replica.Role == "leader" {
			return i, nil
		}
	}
	return 0, fault.New(fault.NoQuorum, "control", "no reachable replica reports that it is leader")
}

// Executions returns how often the call of each request key was executed, summed
// over all servers of the plain service.
func (f *Fleet) Executions() (map[string]int, error) {
	out := make(map[string]int)
	for _, p := range f.PlainServers {
		r, err := http.Get("http://" + p.Address + "/counts")
		if err != nil {
			return nil, fault.Wrap(fault.Internal, p.Name, err)
		}
		counts := make(map[string]int)
		b, err := io.ReadAll(r.Body)
		r.Body.Close()
		if err == nil {
			err = json.Unmarshal(b, &counts)
		}
		if err != nil {
			return nil, fault.Wrap(fault.Internal, p.Name, err)
		}
		for k, n := range counts {
			out[k] += n
		}
	}
	return out, nil
}

// EngineLoads returns the load, running and queued requests, that each engine
// reports. Engines that don't answer within a second are left out.
func (f *Fleet) EngineLoads() []int {
	var out []int
	for _, e := range f.Engines {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		c := camphorspokev1connect.NewEngineServiceClient(http.DefaultClient, "http://"+e.Address)
		r, err := c.Load(ctx, connect.NewRequest(&pb.LoadRequest{}))
		cancel()
		if err == nil {
			out = append(out, int(r.Msg.GetRunning()+r.Msg.GetQueued()))
		}
	}
	return out
}

// ChangeListedServer changes the entry of a backend server in the platform's list;
// action is leave, remove or return.
func (f *Fleet) ChangeListedServer(server, action string) error {
	r, err := http.Post("http://"+f.Platform.Address+"/change?name="+server+"&what="+action, "", nil)
	if err != nil {
		return fault.Wrap(fault.Internal, server, err)
	}
	return r.Body.Close()
}

// ApplyRules replaces rule version base by the rule file in content, through the
// first daemon that accepts it. A rule conflict is not retried at another daemon.
func (f *Fleet) ApplyRules(base uint64, content []byte) (*pb.ApplyRulesResponse, error) {
	var lastErr error
	for _, d := range f.Daemons {
		if exited, _ := d.Exited(); exited {
			continue
		}
		r, err := NewOperatorClient(d.Address).ApplyRules(context.Background(), connect.NewRequest(&pb.ApplyRulesRequest{
			BaseVersion: base,
			Content:     content,
		}))
		if err == nil {
			return r.Msg, nil
		}
		lastErr = err
		if fault.KindOf(err) == fault.RuleConflict {
			break
		}
	}
	return nil, lastErr
}
