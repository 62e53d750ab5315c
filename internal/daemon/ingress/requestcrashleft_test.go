package ingress_test

// This file tests requests that crash the server which runs them after their callers have left.

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/portrange"
)

// TestRequestThatCrashesServersAfterItsCallerHasLeft guards against crashes that are not counted
// because the connection of the caller ends first.
func TestRequestThatCrashesServersAfterItsCallerHasLeft(t *testing.T) {
	crashes := &crashLog{}
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	var addresses []string
	for i := range 6 {
		addresses = append(addresses, newFragileServer(t, ports.Address("127.0.0.1", i), crashes).address)
	}
	e := (&testEnv{t: t}).start(plainRules, addresses)
	for i := range int(crashPeriod / deadlyInterval) {
		ctx, cancel := context.WithTimeout(t.Context(), crashDelay/2)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/read/"+deadlySuffix, strings.NewReader("body"))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("Id", "left"+strconv.Itoa(i))
		r.Header.Set("Key", "secret")
		if resp, err := e.client.Do(r); err == nil {
			resp.Body.Close()
		}
		cancel()
		time.Sleep(deadlyInterval)
	}
	third, ok := crashes.crash(crashesAllowed)
	require.True(t, ok)
	late := crashes.reachedSince(third.Add(stableWindow))
	t.Logf("%d sends later than %v after the third crash", late, stableWindow)
	require.LessOrEqual(t, late, deadlyAllowed)
}
