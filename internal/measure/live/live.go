// Package live measures a fleet of real processes on loopback: the time until
// rule edits are in force, the time until the control group recovers from the
// loss of its leader, and the control traffic, processor time and memory of each
// daemon.
package live

// This file defines MeasureFleet.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/client/caller"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	readyTimeout     = 30 * time.Second
	trafficWindow    = 10 * time.Second
	busyChats        = 24
	editsPerKill     = 25
	inForceTimeout   = 20 * time.Second
	maxApplyAttempts = 40
)

// MeasureFleet measures a fleet of the programs in the folder bin. It times the
// given number of rule edits without faults, and as many with kills of the
// leader, and writes the report to w and to fleet.md in the folder out.
func MeasureFleet(bin, out string, edits int, w io.Writer) error {
	dir, err := os.MkdirTemp("", "camphor-live-")
	if err != nil {
		return fault.Wrap(fault.Internal, "measure", err)
	}
	defer os.RemoveAll(dir)
	f, cleanup, err := fleet.Start(bin, dir, fleet.Skeena())
	if err != nil {
		return err
	}
	defer cleanup()
	m := &measurement{
		fleet: f,
	}
	if err := m.run(edits); err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o750); err != nil {
		return fault.Wrap(fault.Internal, out, err)
	}
	file, err := os.Create(filepath.Join(out, "fleet.md"))
	if err != nil {
		return fault.Wrap(fault.Internal, out, err)
	}
	defer file.Close()
	m.printReport(io.MultiWriter(file, w), edits)
	return nil
}

type measurement struct {
	fleet              *fleet.Fleet
	version            uint64
	idleTraffic        map[string]byteRates
	busyTraffic        map[string]byteRates
	editTimes          []time.Duration
	editTimesWithKills []time.Duration
	// recoveryTimes run from the kill of a leader until the next edit is in
	// force on all running daemons.
	recoveryTimes []time.Duration
	// idleCPU and busyCPU hold the processor time that each daemon uses, in seconds
	// per second.
	idleCPU, busyCPU map[string]float64
	memoryBytes      map[string]int64
	// requestsPerSecond and framesPerSecond are the load during the
	// measurement of the busy fleet; the end frame of each response is counted.
	requestsPerSecond, framesPerSecond float64
}

// byteRates holds bytes per second by kind of control traffic.
type byteRates map[string]float64

func (m *measurement) run(edits int) error {
	if err := m.fleet.AwaitReady(readyTimeout); err != nil {
		return err
	}
	if err := m.applyRules("first"); err != nil {
		return err
	}
	var err error
	if m.idleCPU, err = m.measureUsage(func() error {
		m.idleTraffic, err = m.measureTraffic()
		return err
	}); err != nil {
		return err
	}
	if m.busyCPU, err = m.measureUsage(func() error {
		m.busyTraffic, err = m.measureTrafficUnderLoad()
		return err
	}); err != nil {
		return err
	}
	for n := range edits {
		d, err := m.timeEdit(fmt.Sprintf("without kills %d", n))
		if err != nil {
			return err
		}
		m.editTimes = append(m.editTimes, d)
	}
	return m.timeEditsWithKills(edits)
}

// timeEditsWithKills times edits, and kills the leader right before one in
// every editsPerKill of them.
func (m *measurement) timeEditsWithKills(edits int) error {
	for n := range edits {
		if n%editsPerKill != editsPerKill/2 {
			d, err := m.timeEdit(fmt.Sprintf("with kills %d", n))
			if err != nil {
				return err
			}
			m.editTimesWithKills = append(m.editTimesWithKills, d)
			continue
		}
		i, err := m.fleet.Leader()
		if err != nil {
			return err
		}
		began := time.Now()
		if err := m.fleet.Daemons[i].Signal(syscall.SIGKILL); err != nil {
			return fault.Wrap(fault.Internal, "kill", err)
		}
		d, err := m.timeEdit(fmt.Sprintf("with kills %d", n))
		if err != nil {
			return err
		}
		m.editTimesWithKills = append(m.editTimesWithKills, d)
		m.recoveryTimes = append(m.recoveryTimes, time.Since(began))
		if err := m.fleet.Restart(i); err != nil {
			return err
		}
		if err := m.fleet.AwaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// applyRules applies a new version of the rules, with up to maxApplyAttempts
// attempts.
func (m *measurement) applyRules(note string) error {
	var lastErr error
	for range maxApplyAttempts {
		r, err := m.fleet.ApplyRules(m.version, m.fleet.Topology.Rules(note))
		if err == nil {
			m.version = r.GetVersion()
			return nil
		}
		lastErr = err
	}
	return lastErr
}

// timeEdit returns the time from the submission of an edit until it is in force
// on the last of the running daemons.
func (m *measurement) timeEdit(note string) (time.Duration, error) {
	began := time.Now()
	if err := m.applyRules(note); err != nil {
		return 0, err
	}
	for _, d := range m.fleet.Daemons {
		if exited, _ := d.Exited(); exited {
			continue
		}
		for {
			s, err := fleet.ReadDump(d.Address)
			if err == nil && s.Member.RuleVersion >= m.version {
				break
			}
			if time.Since(began) > inForceTimeout {
				return 0, fault.New(fault.Internal, d.Name, "the rule edit was not in force within the timeout")
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(began), nil
}

// measureUsage returns the processor time that each daemon uses while f runs, in
// seconds per second, and stores the memory that it uses afterwards.
func (m *measurement) measureUsage(f func() error) (map[string]float64, error) {
	before := make(map[string]time.Duration)
	for _, d := range m.fleet.Daemons {
		cpu, _, err := d.Usage()
		if err != nil {
			return nil, err
		}
		before[d.Name] = cpu
	}
	began := time.Now()
	if err := f(); err != nil {
		return nil, err
	}
	out := make(map[string]float64)
	m.memoryBytes = make(map[string]int64)
	for _, d := range m.fleet.Daemons {
		cpu, memory, err := d.Usage()
		if err != nil {
			return nil, err
		}
		out[d.Name] = (cpu - before[d.Name]).Seconds() / time.Since(began).Seconds()
		m.memoryBytes[d.Name] = memory
	}
	return out, nil
}

func (m *measurement) controlBytes() (map[string]map[string]uint64, error) {
	out := make(map[string]map[string]uint64)
	for _, d := range m.fleet.Daemons {
		s, err := fleet.ReadDump(d.Address)
		if err != nil {
			return nil, err
		}
		out[d.Name] = s.ControlBytes
	}
	return out, nil
}

// measureTraffic measures the control traffic of each daemon by kind over
// trafficWindow.
func (m *measurement) measureTraffic() (map[string]byteRates, error) {
	before, err := m.controlBytes()
	if err != nil {
		return nil, err
	}
	time.Sleep(trafficWindow)
	after, err := m.controlBytes()
	if err != nil {
		return nil, err
	}
	out := make(map[string]byteRates)
	for name, kinds := range after {
		out[name] = make(byteRates)
		for kind, b := range kinds {
			out[name][kind] = float64(b-before[name][kind]) / trafficWindow.Seconds()
		}
	}
	return out, nil
}

func (m *measurement) measureTrafficUnderLoad() (map[string]byteRates, error) {
	c := &caller.Caller{
		Seeds: m.fleet.Addresses(),
	}
	var stop atomic.Bool
	var requests, frames atomic.Int64
	var wg sync.WaitGroup
	for i := range busyChats {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				_ = c.Generate(ctx, &pb.GenerateRequest{
					Service:       m.fleet.Topology.EngineService,
					Chat:          fmt.Sprintf("chat-%d-%d", i, n%5),
					ClientAccount: m.fleet.Topology.Name + "-0",
					RequestId:     fmt.Sprintf("live-%d-%d", i, n),
					PromptTokens:  500,
					MaxTokens:     40,
				}, func(*pb.GenerateResponse) { frames.Add(1) })
				cancel()
				requests.Add(1)
			}
		})
	}
	out, err := m.measureTraffic()
	m.requestsPerSecond = float64(requests.Load()) / trafficWindow.Seconds()
	m.framesPerSecond = float64(frames.Load()) / trafficWindow.Seconds()
	stop.Store(true)
	wg.Wait()
	return out, err
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(time.Millisecond)
}

func (m *measurement) printReport(w io.Writer, edits int) {
	fmt.Fprintf(w, "# A fleet of ten daemons on one machine\n\nMade by `make measure-fleet`: the shape of Skeena, 3 control replicas with sync on, %d edits a row.\n\n", edits)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| rule edit handed over until the last daemon has it\t| p50\t| p99\t| worst\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|")
	fmt.Fprintf(t, "| calm\t| %s\t| %s\t| %s\t|\n", quantile(m.editTimes, 0.5), quantile(m.editTimes, 0.99), quantile(m.editTimes, 1))
	fmt.Fprintf(t, "| every %dth edit with its leader killed\t| %s\t| %s\t| %s\t|\n", editsPerKill, quantile(m.editTimesWithKills, 0.5), quantile(m.editTimesWithKills, 0.99), quantile(m.editTimesWithKills, 1))
	fmt.Fprintf(t, "| leader killed until the next edit is in force, %d kills\t| %s\t| %s\t| %s\t|\n", len(m.recoveryTimes), quantile(m.recoveryTimes, 0.5), quantile(m.recoveryTimes, 0.99), quantile(m.recoveryTimes, 1))
	t.Flush()
	fmt.Fprintf(w, "\nControl bytes a second, sent and received, framing included, over %s:\n\n", trafficWindow)
	kinds := []string{"heartbeat", "peer", "probe", "log", "controlServer"}
	t = tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprint(t, "| daemon\t")
	for _, k := range kinds {
		fmt.Fprintf(t, "| %s idle\t| busy\t", k)
	}
	fmt.Fprintln(t, "| as a router, idle\t| busy\t|")
	for range 2*len(kinds) + 3 {
		fmt.Fprint(t, "|---\t")
	}
	fmt.Fprintln(t, "|")
	for _, d := range m.fleet.Daemons {
		fmt.Fprintf(t, "| %s\t", d.Name)
		for _, k := range kinds {
			fmt.Fprintf(t, "| %.0f\t| %.0f\t", m.idleTraffic[d.Name][k], m.busyTraffic[d.Name][k])
		}
		fmt.Fprintf(t, "| %.0f\t| %.0f\t|\n", routerTraffic(m.idleTraffic[d.Name]), routerTraffic(m.busyTraffic[d.Name]))
	}
	t.Flush()
	m.printUsage(w)
}

// printUsage writes a table of the processor time and memory of each daemon.
func (m *measurement) printUsage(w io.Writer) {
	fmt.Fprintf(w, "\nProcessor time in percent of a core, and memory; busy means %.0f requests and %.0f token frames a second over the fleet:\n\n", m.requestsPerSecond, m.framesPerSecond)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| daemon\t| idle\t| busy\t| memory, MB\t|\n|---\t|---\t|---\t|---\t|")
	idle, busy := 0.0, 0.0
	for _, d := range m.fleet.Daemons {
		idle, busy = idle+m.idleCPU[d.Name], busy+m.busyCPU[d.Name]
		fmt.Fprintf(t, "| %s\t| %.1f\t| %.1f\t| %.0f\t|\n", d.Name, 100*m.idleCPU[d.Name], 100*m.busyCPU[d.Name], float64(m.memoryBytes[d.Name])/1e6)
	}
	t.Flush()
	fmt.Fprintf(w, "\nAll daemons together: %.0f us of processor time a request, of 41 frames, above idle.\n", 1e6*(busy-idle)/max(m.requestsPerSecond, 1))
}

// routerTraffic sums the kinds of control traffic that a daemon has as a router.
// The log and the serving of heartbeats (controlServer) belong to the control
// replicas.
func routerTraffic(r byteRates) float64 { return r["heartbeat"] + r["peer"] + r["probe"] }
