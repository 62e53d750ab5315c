package backend

// This file tests how a Keep-Alive header is read.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKeepAliveTimeoutAmongOtherValues: the timeout is found beside parameters of other
// servers and in other spellings. One that was not found cost a server's connections most of
// their time in the pool, and an infinite one gave a time that depends on the processor.
func TestKeepAliveTimeoutAmongOtherValues(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5":               5 * time.Second,
		"max=100, timeout=5":      5 * time.Second,
		"timeout=5, max=100, new": 5 * time.Second,
		"max=100; timeout=5":      5 * time.Second,
		"timeout=5;new=1":         5 * time.Second,
		"Timeout = 5":             5 * time.Second,
		`timeout="5"`:             5 * time.Second,
		"timeout=2.5":             2500 * time.Millisecond,
		"timeout=0":               0,
		"timeout=soon, timeout=5": 5 * time.Second,
		"timeout=1e300":           maxKeepAlive,
		"timeout=+Inf":            maxKeepAlive,
		"timeout=NaN":             -1,
		"timeout=-5":              -1,
		"timeout":                 -1,
		"timeouts=5":              -1,
		"":                        -1,
	} {
		require.Equal(t, want, keepAliveTimeout(header), "%q", header)
	}
}
