// Package report runs the trials of a measurement side by side and writes what
// they gave as a table and a plot.
package report

// This file defines Placement.

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"camphorspoke/internal/measure"
	"camphorspoke/internal/measure/policy"
	"camphorspoke/internal/measure/trial"
	"camphorspoke/internal/measure/workload"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

const (
	engines      = 9
	slots        = 8
	cacheTokens  = 700_000
	routers      = 10
	surgeAccount = 3
)

// shape is a deployment: the two differ in how busy their engines are.
type shape struct {
	name      string
	perSecond float64
}

func shapes() []shape {
	return []shape{
		{name: "skeena", perSecond: 13},
		{name: "hanbit", perSecond: 11},
	}
}

// cell gathers one policy in one phase over the seeds.
type cell struct {
	reused, skew50, skew99, skewMax, over, refused []float64
	urgent, normal, others, moved                  []float64
	refusedOthers                                  []float64
}

type key struct {
	shape, policy, phase string
}

type job struct {
	shape  shape
	seed   uint64
	policy measure.Policy
}

// Placement runs every policy with every seed and writes the results to out.
func Placement(out string, seeds int, w io.Writer) error {
	var jobs []job
	for _, s := range shapes() {
		for seed := range uint64(seeds) {
			for _, p := range policy.All(seed + 1) {
				jobs = append(jobs, job{
					shape:  s,
					seed:   seed + 1,
					policy: p,
				})
			}
		}
	}
	cells, err := runAll(jobs)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o750); err != nil {
		return fault.Wrap(fault.Internal, out, err)
	}
	text := table(cells, seeds)
	if _, err := io.WriteString(w, text); err != nil {
		return fault.Wrap(fault.Internal, "output", err)
	}
	if err := os.WriteFile(filepath.Join(out, "placement.md"), []byte(text), 0o640); err != nil {
		return fault.Wrap(fault.Internal, out, err)
	}
	for _, s := range shapes() {
		if err := draw(filepath.Join(out, "reuse-"+s.name+".png"), s.name, cells); err != nil {
			return err
		}
	}
	return nil
}

func runAll(jobs []job) (map[key]*cell, error) {
	cells := make(map[key]*cell)
	var mu sync.Mutex
	var first error
	queue := make(chan job)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for j := range queue {
				results, err := runOne(j)
				mu.Lock()
				if err != nil && first == nil {
					first = err
				}
				for _, r := range results {
					note(cells, j, r)
				}
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	wg.Wait()
	return cells, first
}

func runOne(j job) ([]*trial.Result, error) {
	phases := trial.Phases()
	t := &trial.Trial{
		Policy:       j.policy,
		Source:       workload.New(j.seed, j.shape.perSecond, routers, surgeAccount, trial.SurgingIn(phases)),
		Engines:      engines,
		EngineSlots:  slots,
		CacheTokens:  cacheTokens,
		Routers:      routers,
		Seed:         j.seed,
		Phases:       phases,
		SurgeAccount: workload.Account(surgeAccount),
	}
	return t.Run()
}

func note(cells map[key]*cell, j job, r *trial.Result) {
	k := key{
		shape:  j.shape.name,
		policy: j.policy.Name(),
		phase:  r.Phase,
	}
	c := cells[k]
	if c == nil {
		c = &cell{}
		cells[k] = c
	}
	c.reused = append(c.reused, 100*r.ReusedShare())
	c.skew50 = append(c.skew50, r.SkewAt(0.5))
	c.skew99 = append(c.skew99, r.SkewAt(0.99))
	c.skewMax = append(c.skewMax, r.SkewAt(1))
	c.over = append(c.over, 100*r.OverShare())
	c.refused = append(c.refused, 100*float64(r.Refused)/float64(max(r.Requests, 1)))
	c.moved = append(c.moved, 100*float64(r.MovedTokens)/float64(max(r.Reusable, 1)))
	c.refusedOthers = append(c.refusedOthers, 100*float64(r.RefusedOthers)/float64(max(r.Requests, 1)))
	c.urgent = append(c.urgent, seconds(r.FirstToken(file.Urgent, 95)))
	c.normal = append(c.normal, seconds(r.FirstToken(file.Normal, 95)))
	c.others = append(c.others, seconds(r.FirstTokenWithout(workload.Account(surgeAccount), 95)))
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(len(v), 1))
}

// spread writes the mean and the range over the seeds.
func spread(v []float64, digits int) string {
	if len(v) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, mean(v), digits, slices.Min(v), digits, slices.Max(v))
}

func names() []string {
	var out []string
	for _, p := range policy.All(1) {
		out = append(out, p.Name())
	}
	return out
}

func table(cells map[key]*cell, seeds int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Placement\n\nMade by `make measure` (camphor-measure -seeds %d): %d engines of %d slots and %d cached tokens,\n%d routers, ten accounts. Mean over the seeds, with the range in brackets. Times are the 95th\npercentile in seconds, queueing included; `others` leaves out the account that surges.\nThe share over the bound counts admissions after which an engine's load is above\nceil(%.2f x the true mean). Moved tokens are given in percent of the reusable ones.\n", seeds, engines, slots, cacheTokens, routers, file.DefaultBound)
	for _, s := range shapes() {
		for _, p := range trial.Phases()[1:] {
			fmt.Fprintf(&b, "\n## %s (%.0f requests/s): %s\n\n| policy | reused %% | skew p50 | p99 | worst | over bound %% | refused %% | of them others | urgent | normal | others | moved %% |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n", s.name, s.perSecond, p.Name)
			for _, name := range names() {
				c := cells[key{
					shape:  s.name,
					policy: name,
					phase:  p.Name,
				}]
				fmt.Fprintf(&b, "| %s | %s | %.2f | %.2f | %.2f | %s | %.2f | %.2f | %s | %s | %s | %.1f |\n", name, spread(c.reused, 1), mean(c.skew50), mean(c.skew99), slices.Max(c.skewMax),
					spread(c.over, 2), mean(c.refused), mean(c.refusedOthers), spread(c.urgent, 2), spread(c.normal, 2), spread(c.others, 2), mean(c.moved))
			}
		}
	}
	return b.String()
}

// draw plots the reused share by phase for each policy.
func draw(path, shapeName string, cells map[key]*cell) error {
	p := plot.New()
	p.Title.Text = "reused share of reusable prompt tokens, " + shapeName
	p.Y.Label.Text = "percent"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = false
	p.Legend.Left = true
	phases := trial.Phases()[1:]
	for i, name := range names() {
		pts := make(plotter.XYs, len(phases))
		for x, ph := range phases {
			pts[x].X = float64(x)
			pts[x].Y = mean(cells[key{
				shape:  shapeName,
				policy: name,
				phase:  ph.Name,
			}].reused)
		}
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return fault.Wrap(fault.Internal, path, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(name, line, points)
	}
	labels := make([]string, len(phases))
	for i, ph := range phases {
		labels[i] = ph.Name
	}
	p.NominalX(labels...)
	if err := p.Save(10*vg.Inch, 5*vg.Inch, path); err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	return nil
}
