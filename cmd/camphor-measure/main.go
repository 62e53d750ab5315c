// Command camphor-measure compares the placement policy with baseline policies
// in simulation, or measures a fleet of processes, and writes tables and plots.
package main

import (
	"flag"
	"fmt"
	"os"

	"camphorspoke/internal/measure/live"
	"camphorspoke/internal/measure/report"
)

func main() {
	out := flag.String("out", "docs/measure", "directory for the tables and plots")
	seeds := flag.Int("seeds", 5, "number of seeds, starting at 1")
	bin := flag.String("fleet", "", "measure a fleet of processes with the binaries in this directory instead")
	edits := flag.Int("edits", 200, "rule edits to time on the fleet")
	flag.Parse()
	run := func() error { return report.Placement(*out, *seeds, os.Stdout) }
	if *bin != "" {
		run = func() error { return live.MeasureFleet(*bin, *out, *edits, os.Stdout) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-measure:", err)
		os.Exit(1)
	}
}
