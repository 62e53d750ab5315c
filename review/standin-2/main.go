// Command standin2 plays a scripted case of the second review: it starts the daemons with the
// commands of the deploy file, with stand-ins of runners, platform, operator and clients around
// them, and judges what those have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"standin2/fleet"
)

// scenario is one case. play reports whether the rule held, or an error if it could not run.
type scenario struct {
	site          fleet.Site
	disks, others int
	play          func(f *fleet.Fleet) (held bool, err error)
}

// scenarios holds the cases by the name of their folder.
var scenarios = map[string]scenario{
	"6":  {site: fleet.Skeena, disks: 3, others: 3, play: promptsOfManyParts},
	"7":  {site: fleet.Skeena, disks: 3, others: 2, play: lostAtFirstStart},
	"9":  {site: fleet.Dasan, disks: 3, others: 1, play: slowReaders},
	"10": {site: fleet.Skeena, disks: 3, others: 3, play: cutOff},
}

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest that a case may take.
const maxTime = 118 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	f, err := fleet.New(s.site, folder, s.disks, s.others)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := s.play(f)
		done <- result{held: held, err: err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-stopped:
		r.err = fmt.Errorf("the case was stopped")
	case <-time.After(maxTime):
		r.err = fmt.Errorf("the case took too long")
	}
	switch {
	case r.err != nil:
		f.Logf("VERDICT: the case could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitNotRun
	case r.held:
		f.Logf("VERDICT: the rule held")
		return exitHeld
	default:
		f.Logf("VERDICT: the rule was broken")
		return exitBroken
	}
}
