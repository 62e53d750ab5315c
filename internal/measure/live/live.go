// Package live measures a fleet of real processes on loopback: how fast rule
// edits are in force, how fast the control group recovers from the loss of its
// leader, and what control traffic each daemon spends.
package live

// This file defines Report.

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

	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/client/caller"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

const (
	readyIn     = 30 * time.Second
	bytesFor    = 10 * time.Second
	busyChats   = 24
	killEvery   = 25
	inForceIn   = 20 * time.Second
	answerTries = 40
)

// Report measures a fleet with the programs in bin and writes a table to out.
func Report(bin, out string, edits int, w io.Writer) error {
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
	m.print(io.MultiWriter(file, w), edits)
	return nil
}

type measurement struct {
	fleet   *fleet.Fleet
	version uint64
	idle    map[string]rates
	busy    map[string]rates
	calm    []time.Duration
	killed  []time.Duration
	// recovery is the time from a leader's kill to the next accepted edit.
	recovery []time.Duration
	// idleCPU and busyCPU are the processor time a second of each daemon.
	idleCPU, busyCPU map[string]float64
	memory           map[string]int64
	// busyPerSecond and tokensPerSecond are the load of the busy stretch.
	busyPerSecond, tokensPerSecond float64
}

// rates are bytes a second by kind.
type rates map[string]float64

func (m *measurement) run(edits int) error {
	if err := m.fleet.AwaitReady(readyIn); err != nil {
		return err
	}
	if err := m.edit("first"); err != nil {
		return err
	}
	var err error
	if m.idleCPU, err = m.usage(func() error {
		m.idle, err = m.bytes()
		return err
	}); err != nil {
		return err
	}
	if m.busyCPU, err = m.usage(func() error {
		m.busy, err = m.underLoad()
		return err
	}); err != nil {
		return err
	}
	for n := range edits {
		d, err := m.timedEdit(fmt.Sprintf("calm %d", n))
		if err != nil {
			return err
		}
		m.calm = append(m.calm, d)
	}
	return m.withKills(edits)
}

// withKills kills the leader in the middle of some edits.
func (m *measurement) withKills(edits int) error {
	for n := range edits {
		if n%killEvery != killEvery/2 {
			d, err := m.timedEdit(fmt.Sprintf("killed %d", n))
			if err != nil {
				return err
			}
			m.killed = append(m.killed, d)
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
		d, err := m.timedEdit(fmt.Sprintf("killed %d", n))
		if err != nil {
			return err
		}
		m.killed = append(m.killed, d)
		m.recovery = append(m.recovery, time.Since(began))
		if err := m.fleet.Restart(i); err != nil {
			return err
		}
		if err := m.fleet.AwaitReady(readyIn); err != nil {
			return err
		}
	}
	return nil
}

// edit applies a new version, asking again until it is answered.
func (m *measurement) edit(note string) error {
	var last error
	for range answerTries {
		r, err := m.fleet.Apply(m.version, m.fleet.Shape.Rules(note))
		if err == nil {
			m.version = r.GetVersion()
			return nil
		}
		last = err
	}
	return last
}

// timedEdit returns the time from handing an edit over until the last running
// daemon has it.
func (m *measurement) timedEdit(note string) (time.Duration, error) {
	began := time.Now()
	if err := m.edit(note); err != nil {
		return 0, err
	}
	for _, d := range m.fleet.Daemons {
		if ended, _ := d.Exited(); ended {
			continue
		}
		for {
			s, err := fleet.Dump(d.Address)
			if err == nil && s.Member.RuleVersion >= m.version {
				break
			}
			if time.Since(began) > inForceIn {
				return 0, fault.New(fault.Internal, d.Name, "the rules never came")
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(began), nil
}

// usage returns the processor time a second of each daemon while f runs.
func (m *measurement) usage(f func() error) (map[string]float64, error) {
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
	m.memory = make(map[string]int64)
	for _, d := range m.fleet.Daemons {
		cpu, memory, err := d.Usage()
		if err != nil {
			return nil, err
		}
		out[d.Name] = (cpu - before[d.Name]).Seconds() / time.Since(began).Seconds()
		m.memory[d.Name] = memory
	}
	return out, nil
}

func (m *measurement) snapshot() (map[string]map[string]uint64, error) {
	out := make(map[string]map[string]uint64)
	for _, d := range m.fleet.Daemons {
		s, err := fleet.Dump(d.Address)
		if err != nil {
			return nil, err
		}
		out[d.Name] = s.ControlBytes
	}
	return out, nil
}

// bytes measures the control traffic of each daemon by kind.
func (m *measurement) bytes() (map[string]rates, error) {
	before, err := m.snapshot()
	if err != nil {
		return nil, err
	}
	time.Sleep(bytesFor)
	after, err := m.snapshot()
	if err != nil {
		return nil, err
	}
	out := make(map[string]rates)
	for name, kinds := range after {
		out[name] = make(rates)
		for kind, b := range kinds {
			out[name][kind] = float64(b-before[name][kind]) / bytesFor.Seconds()
		}
	}
	return out, nil
}

func (m *measurement) underLoad() (map[string]rates, error) {
	c := &caller.Caller{
		Seeds: m.fleet.Addresses(),
	}
	var stop atomic.Bool
	var requests, tokens atomic.Int64
	var wg sync.WaitGroup
	for i := range busyChats {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				_ = c.Generate(ctx, &pb.GenerateRequest{
					Service:       m.fleet.Shape.EngineService,
					Chat:          fmt.Sprintf("chat-%d-%d", i, n%5),
					ClientAccount: m.fleet.Shape.Name + "-0",
					RequestId:     fmt.Sprintf("live-%d-%d", i, n),
					PromptTokens:  500,
					MaxTokens:     40,
				}, func(*pb.GenerateResponse) { tokens.Add(1) })
				cancel()
				requests.Add(1)
			}
		})
	}
	out, err := m.bytes()
	m.busyPerSecond = float64(requests.Load()) / bytesFor.Seconds()
	m.tokensPerSecond = float64(tokens.Load()) / bytesFor.Seconds()
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

func (m *measurement) print(w io.Writer, edits int) {
	fmt.Fprintf(w, "# A fleet of ten daemons on one machine\n\nMade by `make measure-fleet`: the shape of Skeena, 3 control replicas with sync on, %d edits a row.\n\n", edits)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| rule edit handed over until the last daemon has it\t| p50\t| p99\t| worst\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|")
	fmt.Fprintf(t, "| calm\t| %s\t| %s\t| %s\t|\n", quantile(m.calm, 0.5), quantile(m.calm, 0.99), quantile(m.calm, 1))
	fmt.Fprintf(t, "| every %dth edit with its leader killed\t| %s\t| %s\t| %s\t|\n", killEvery, quantile(m.killed, 0.5), quantile(m.killed, 0.99), quantile(m.killed, 1))
	fmt.Fprintf(t, "| leader killed until the next edit is in force, %d kills\t| %s\t| %s\t| %s\t|\n", len(m.recovery), quantile(m.recovery, 0.5), quantile(m.recovery, 0.99), quantile(m.recovery, 1))
	t.Flush()
	fmt.Fprintf(w, "\nControl bytes a second, sent and received, framing included, over %s:\n\n", bytesFor)
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
			fmt.Fprintf(t, "| %.0f\t| %.0f\t", m.idle[d.Name][k], m.busy[d.Name][k])
		}
		fmt.Fprintf(t, "| %.0f\t| %.0f\t|\n", asRouter(m.idle[d.Name]), asRouter(m.busy[d.Name]))
	}
	t.Flush()
	m.printUsage(w)
}

// printUsage writes the processor time and memory of each daemon.
func (m *measurement) printUsage(w io.Writer) {
	fmt.Fprintf(w, "\nProcessor time in percent of a core, and memory; busy means %.0f requests and %.0f token frames a second over the fleet:\n\n", m.busyPerSecond, m.tokensPerSecond)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| daemon\t| idle\t| busy\t| memory, MB\t|\n|---\t|---\t|---\t|---\t|")
	idle, busy := 0.0, 0.0
	for _, d := range m.fleet.Daemons {
		idle, busy = idle+m.idleCPU[d.Name], busy+m.busyCPU[d.Name]
		fmt.Fprintf(t, "| %s\t| %.1f\t| %.1f\t| %.0f\t|\n", d.Name, 100*m.idleCPU[d.Name], 100*m.busyCPU[d.Name], float64(m.memory[d.Name])/1e6)
	}
	t.Flush()
	fmt.Fprintf(w, "\nAll daemons together: %.0f us of processor time a request, of 41 frames, above idle.\n", 1e6*(busy-idle)/max(m.busyPerSecond, 1))
}

// asRouter adds up the kinds that a router spends; the log and the serving of
// heartbeats belong to the control replicas.
func asRouter(r rates) float64 { return r["heartbeat"] + r["peer"] + r["probe"] }
