// Package seeded makes the random tests of a package give the same verdict on
// every run: without a seed on the command line they use a fixed one.
package seeded

// This file defines Main.

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaults are the settings of the random tests in CI.
const (
	defaultSeed   = "1"
	defaultChecks = 100
)

// Main runs the tests of a package. checks is how many runs a random test
// makes unless the command line says; zero is 100.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if checks == 0 {
		checks = defaultChecks
	}
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       defaultSeed,
		"rapid.checks":     fmt.Sprint(checks),
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
