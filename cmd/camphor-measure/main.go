// Command camphor-measure compares our placement with the baselines and writes
// tables and plots.
package main

import (
	"flag"
	"fmt"
	"os"

	"camphorspoke/internal/measure/report"
)

func main() {
	out := flag.String("out", "docs/measure", "folder for the tables and plots")
	seeds := flag.Int("seeds", 5, "number of seeds, from 1 on")
	flag.Parse()
	if err := report.Placement(*out, *seeds, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-measure:", err)
		os.Exit(1)
	}
}
