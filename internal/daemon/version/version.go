// Package version names the version of the programs.
package version

// This file defines String.

import "runtime/debug"

// Number is the version of the next release.
const Number = "0.1.0"

// String returns the version and the Go version it was built with.
func String() string {
	s := Number
	if b, ok := debug.ReadBuildInfo(); ok {
		s += " " + b.GoVersion
	}
	return s
}
