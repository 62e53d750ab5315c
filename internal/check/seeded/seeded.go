// Package seeded makes the property-based tests of a package, which use rapid,
// reproducible: without a seed on the command line they run with a fixed one.
package seeded

// This file defines Main.

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Values of the rapid flags that the command line doesn't set, as in CI.
const (
	defaultSeed   = "1"
	defaultChecks = 100
)

// Main runs the tests of a package and exits; call it from TestMain. checks is the
// number of random cases that each property is tested with unless the command
// line sets it; zero means 100.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if checks == 0 {
		checks = defaultChecks
	}
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       defaultSeed,
		"rapid.checks":     fmt.Sprint(checks),
		"rapid.nofailfile": "true",
	} {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
