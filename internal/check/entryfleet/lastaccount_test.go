package entryfleet

// This file tests a configuration that takes the last client account away.

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTakingTheLastAccountAwayClosesTheRoutes guards against a configuration with an empty list of
// accounts that opened all routes: the rules did not say that callers need a key, as no account was
// left. It comes straight after one with many accounts, under load, and outlives a restart of all
// instances.
func TestTakingTheLastAccountAwayClosesTheRoutes(t *testing.T) {
	const accounts = 40
	f := newFleet(t)
	var tenants []any
	for n := range accounts {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("t%d", n), "keys": []string{fmt.Sprintf("k%d", n)}})
	}
	require.Eventually(t, func() bool { return f.putTenants(1, 7, tenants) == http.StatusOK }, 20*time.Second, 50*time.Millisecond)
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k0")
	}
	var load sync.WaitGroup
	var ended atomic.Bool
	for n := range accounts {
		load.Go(func() {
			for r := 0; !ended.Load(); r++ {
				f.sendRequest(1+n%3, fmt.Sprintf("load%d-%d", n, r), fmt.Sprintf("k%d", n))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	require.Equal(t, http.StatusOK, f.putTenants(2, 9, []any{}))
	time.Sleep(4 * time.Second) // within which every instance has the version or refuses all requests
	f.requireClosed("changed", "k0", "k39", "never-held", "-", "")
	ended.Store(true)
	load.Wait()
	status, body := get("http://" + f.addr(3, configurationPort) + "/api/configuration/read")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"tenants":[]`)

	for i := 1; i <= 3; i++ {
		f.stop(i)
	}
	for i := 1; i <= 3; i++ {
		f.start(i, false)
	}
	for i := 1; i <= 3; i++ {
		f.requirePathServes(i, "/open/x", "k0")
	}
	f.requireClosed("restarted", "k0", "never-held", "")

	require.Equal(t, http.StatusOK, f.putTenants(3, 11, tenants[:1]))
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k0")
	}
}

// requireClosed checks that every instance refuses the keys on a route that is not public, and none of
// their requests runs. An instance that cannot confirm its rules for a moment is asked again.
func (f *fleet) requireClosed(id string, keys ...string) {
	f.t.Helper()
	for i := 1; i <= 3; i++ {
		for n, key := range keys {
			attempt := fmt.Sprintf("%s%d-%d", id, i, n)
			require.Eventually(f.t, func() bool {
				status, _ := f.sendRequest(i, attempt, key)
				return status != http.StatusServiceUnavailable
			}, 10*time.Second, 50*time.Millisecond)
			status, _ := f.sendRequest(i, attempt, key)
			require.Equal(f.t, http.StatusUnauthorized, status, "instance %d, key %q", i, key)
			_, ran := f.tenants.Load(attempt)
			require.False(f.t, ran, "instance %d, key %q", i, key)
		}
	}
}
