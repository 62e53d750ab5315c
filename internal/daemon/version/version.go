// Package version holds the release version of the programs, as reported by their
// version flags and in dumps.
package version

// This file defines Number and String.

import "runtime/debug"

// Number is the version of the next release.
const Number = "0.1.0"

// String returns the release version followed by the Go version of the build.
func String() string {
	s := Number
	if b, ok := debug.ReadBuildInfo(); ok {
		s += " " + b.GoVersion
	}
	return s
}
