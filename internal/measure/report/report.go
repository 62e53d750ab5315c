// Package report runs the trials of a measurement in parallel and writes their
// results as a table and plots.
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

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/measure"
	"camphorspoke/internal/measure/policy"
	"camphorspoke/internal/measure/trial"
	"camphorspoke/internal/measure/workload"
	"camphorspoke/internal/rules/ruleset"
)

const (
	engines      = 9
	slots        = 8
	cacheTokens  = 700_000
	routers      = 10
	surgeAccount = 3
)

// deployment is a simulated fleet. The two deployments differ in the rate of
// requests, and so in how busy their engines are.
type deployment struct {
	name              string
	requestsPerSecond float64
}

func deployments() []deployment {
	return []deployment{
		{name: "skeena", requestsPerSecond: 13},
		{name: "hanbit", requestsPerSecond: 11},
	}
}

// cell collects the figures of one policy in one phase, each with one value per
// seed. urgent, normal and otherAccounts are 95th percentiles of the time to the
// first token in seconds; the skews are ratios, and the rest are percentages.
type cell struct {
	reused, skew50, skew99, skewMax, overBound, refused []float64
	urgent, normal, otherAccounts, moved                []float64
	refusedOthers                                       []float64
}

type key struct {
	deployment, policy, phase string
}

type job struct {
	deployment deployment
	seed       uint64
	policy     measure.Policy
}

// Placement runs a trial of every policy with every seed in every deployment. It
// writes the table to w and to placement.md in the folder out, and one plot per
// deployment to the same folder.
func Placement(out string, seeds int, w io.Writer) error {
	var jobs []job
	for _, d := range deployments() {
		for seed := range uint64(seeds) {
			for _, p := range policy.All(seed + 1) {
				jobs = append(jobs, job{
					deployment: d,
					seed:       seed + 1,
					policy:     p,
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
	for _, d := range deployments() {
		if err := drawPlot(filepath.Join(out, "reuse-"+d.name+".png"), d.name, cells); err != nil {
			return err
		}
	}
	return nil
}

func runAll(jobs []job) (map[key]*cell, error) {
	cells := make(map[key]*cell)
	var mu sync.Mutex
	var firstErr error
	queue := make(chan job)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for j := range queue {
				results, err := runOne(j)
				mu.Lock()
				if err != nil && firstErr == nil {
					firstErr = err
				}
				for _, r := range results {
					addResult(cells, j, r)
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
	return cells, firstErr
}

func runOne(j job) ([]*trial.Result, error) {
	phases := trial.Phases()
	t := &trial.Trial{
		Policy:       j.policy,
		Source:       workload.New(j.seed, j.deployment.requestsPerSecond, routers, surgeAccount, trial.SurgingIn(phases)),
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

func addResult(cells map[key]*cell, j job, r *trial.Result) {
	k := key{
		deployment: j.deployment.name,
		policy:     j.policy.Name(),
		phase:      r.Phase,
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
	c.overBound = append(c.overBound, 100*r.OverBoundShare())
	c.refused = append(c.refused, 100*float64(r.Refused)/float64(max(r.Requests, 1)))
	c.moved = append(c.moved, 100*float64(r.MovedTokens)/float64(max(r.Reusable, 1)))
	c.refusedOthers = append(c.refusedOthers, 100*float64(r.RefusedOthers)/float64(max(r.Requests, 1)))
	c.urgent = append(c.urgent, seconds(r.TimeToFirstToken(ruleset.Urgent, 95)))
	c.normal = append(c.normal, seconds(r.TimeToFirstToken(ruleset.Normal, 95)))
	c.otherAccounts = append(c.otherAccounts, seconds(r.TimeToFirstTokenWithout(workload.Account(surgeAccount), 95)))
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(len(v), 1))
}

// meanAndRange formats the mean of v and, in brackets, its range.
func meanAndRange(v []float64, digits int) string {
	if len(v) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, mean(v), digits, slices.Min(v), digits, slices.Max(v))
}

func policyNames() []string {
	var out []string
	for _, p := range policy.All(1) {
		out = append(out, p.Name())
	}
	return out
}

func table(cells map[key]*cell, seeds int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Placement\n\nMade by `make measure` (camphor-measure -seeds %d): %d engines of %d slots and %d cached tokens,\n%d routers, ten accounts. Mean over the seeds, with the range in brackets. Times are the 95th\npercentile in seconds, queueing included; `others` leaves out the account that surges.\nThe share over the bound counts admissions after which an engine's load is above\nceil(%.2f x the true mean). Moved tokens are given in percent of the reusable ones.\n", seeds, engines, slots, cacheTokens, routers, ruleset.DefaultLoadBound)
	for _, d := range deployments() {
		for _, p := range trial.Phases()[1:] {
			fmt.Fprintf(&b, "\n## %s (%.0f requests/s): %s\n\n| policy | reused %% | skew p50 | p99 | worst | over bound %% | refused %% | of them others | urgent | normal | others | moved %% |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n", d.name, d.requestsPerSecond, p.Name)
			for _, name := range policyNames() {
				c := cells[key{
					deployment: d.name,
					policy:     name,
					phase:      p.Name,
				}]
				fmt.Fprintf(&b, "| %s | %s | %.2f | %.2f | %.2f | %s | %.2f | %.2f | %s | %s | %s | %.1f |\n", name, meanAndRange(c.reused, 1), mean(c.skew50), mean(c.skew99), slices.Max(c.skewMax),
					meanAndRange(c.overBound, 2), mean(c.refused), mean(c.refusedOthers), meanAndRange(c.urgent, 2), meanAndRange(c.normal, 2), meanAndRange(c.otherAccounts, 2), mean(c.moved))
			}
		}
	}
	return b.String()
}

// drawPlot plots the reused share of the reusable prompt tokens by phase, with
// one line for each policy.
func drawPlot(path, deploymentName string, cells map[key]*cell) error {
	p := plot.New()
	p.Title.Text = "reused share of reusable prompt tokens, " + deploymentName
	p.Y.Label.Text = "percent"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = false
	p.Legend.Left = true
	phases := trial.Phases()[1:]
	for i, name := range policyNames() {
		pts := make(plotter.XYs, len(phases))
		for x, ph := range phases {
			pts[x].X = float64(x)
			pts[x].Y = mean(cells[key{
				deployment: deploymentName,
				policy:     name,
				phase:      ph.Name,
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
