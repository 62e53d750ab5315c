// Command camphor-demo starts a fleet of daemons and simulated services on
// loopback, sends load, injects failures and reports which guarantees were
// violated.
package main

import (
	"flag"
	"fmt"
	"os"

	"camphorspoke/internal/check/demo"
	"camphorspoke/internal/check/fleet"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	flag.Parse()
	violations := 0
	for _, topology := range []fleet.Topology{fleet.Skeena(), fleet.Hanbit()} {
		r, err := demo.Run(*bin, topology)
		if err != nil {
			fmt.Fprintln(os.Stderr, "camphor-demo:", err)
			os.Exit(1)
		}
		r.Print(os.Stdout)
		violations += len(r.Violations)
	}
	if violations > 0 {
		os.Exit(1)
	}
}
