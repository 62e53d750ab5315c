package ingress_test

// This file tests which account backend servers are told while keys are taken away, moved and added.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/rules/ruleset"
)

// keysBefore and keysAfter are the account rules before and after a change that takes one key away,
// moves one, adds one and keeps one.
var (
	keysBefore = accountRule("acme", "gone", "moved", "kept", "secret") + accountRule("bold", "own")
	keysAfter  = accountRule("acme", "kept") + accountRule("bold", "own", "moved", "new")
	// holderAfter is the account of each key after the change.
	holderAfter = map[string]string{"gone": "", "moved": "bold", "new": "bold", "kept": "acme", "unknown": ""}
)

func accountRule(name string, keys ...string) string {
	digests := make([]string, len(keys))
	for i, key := range keys {
		digests[i] = ruleset.KeyDigest(key)
	}
	return fmt.Sprintf("account %s share=1 keys=%s # t: t\n", name, strings.Join(digests, ","))
}

// keyEnv is an instance with two accounts, and the accounts that its servers were told.
type keyEnv struct {
	*testEnv

	mu       sync.Mutex
	accounts []string
}

// newKeyEnv starts an instance. Its servers answer with respond.
func newKeyEnv(t *testing.T, slots uint32, respond ...responder) *keyEnv {
	t.Helper()
	k := &keyEnv{
		testEnv: &testEnv{
			t:     t,
			slots: slots,
		},
	}
	var addresses []string
	for i, answer := range respond {
		addresses = append(addresses, k.backend(fmt.Sprintf("b%d", i), func(c net.Conn, r *http.Request) {
			k.mu.Lock()
			k.accounts = append(k.accounts, r.Header.Get("Account"))
			k.mu.Unlock()
			answer(c, r)
		}))
	}
	rules := strings.Replace(ruleText, "account acme share=1 keys=%s # t: t\n", keysBefore, 1)
	k.start(rules, addresses)
	return k
}

// told returns the accounts that servers were told, in the order of the requests.
func (k *keyEnv) told() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string{}, k.accounts...)
}

// changeKeys puts the rules after the change in force.
func (k *keyEnv) changeKeys() { k.changeRules(keysBefore, keysAfter) }

// TestUnconfirmedRulesNameNoAccountOnPublicRoutes guards against an instance that wakes from a freeze, or
// is cut off from the control group, and passes on the account of a key that was taken away, moved
// or added since: on public routes it looked keys up in rules that were not confirmed.
func TestUnconfirmedRulesNameNoAccountOnPublicRoutes(t *testing.T) {
	for path, answer := range map[string]responder{"/open/x": respondOK, "/news/x": stream(3, 0)} {
		k := newKeyEnv(t, 4, answer)
		k.membership.stale.Store(true)
		for key := range holderAfter {
			resp, _, err := k.do(path, "Key", key)
			require.NoError(t, err)
			require.Equal(t, fault.RulesStale, resp.Header.Get("Kind"), key)
			require.NotEmpty(t, resp.Header.Get("Retry"))
		}
		require.Empty(t, k.told())
		require.Equal(t, http.StatusOK, k.status(path, "Key", ""))
		require.Equal(t, []string{""}, k.told())
	}
}

// TestRequestsOfAnInstanceThatWakesGetTheNewAccount guards against requests that are refused, or get the
// account of before, although the rules are confirmed a moment after the wake.
func TestRequestsOfAnInstanceThatWakesGetTheNewAccount(t *testing.T) {
	for key, holder := range holderAfter {
		k := newKeyEnv(t, 4, respondOK)
		k.membership.stale.Store(true)
		k.membership.freshSoon.Store(true)
		time.AfterFunc(50*time.Millisecond, func() {
			k.changeKeys()
			k.membership.stale.Store(false)
		})
		require.Equal(t, http.StatusOK, k.status("/open/x", "Key", key), key)
		require.Equal(t, []string{holder}, k.told(), key)
	}
}

// TestKeyThatChangesWhileItsRequestWaits guards against requests that are sent under the account that was
// looked up before they waited. The rules are confirmed again by then, as after a freeze. A key that
// is kept does not end its request.
func TestKeyThatChangesWhileItsRequestWaits(t *testing.T) {
	paths := map[string]bool{"/open/x": true, "/read/x": false}
	for path, public := range paths {
		for _, key := range []string{"gone", "moved", "kept", "new"} {
			if key == "new" && !public {
				continue
			}
			t.Run(path+key, func(t *testing.T) {
				t.Run("for its next try", func(t *testing.T) { requireNextTryStops(t, path, key) })
				t.Run("for a slot", func(t *testing.T) { requireWaitStops(t, path, key) })
				t.Run("for its body", func(t *testing.T) { requireUploadStops(t, path, key) })
			})
		}
	}
}

// requireHolder checks the outcome of a request of key whose account was read before the change: it runs
// only if the key is kept.
func requireHolder(t *testing.T, resp *http.Response, key string, told []string) {
	t.Helper()
	if key == "kept" {
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, []string{"acme"}, told)
		return
	}
	require.Empty(t, told)
	require.Equal(t, fault.RulesStale, resp.Header.Get("Kind"))
	require.NotEmpty(t, resp.Header.Get("Retry"))
}

func requireNextTryStops(t *testing.T, path, key string) {
	var k *keyEnv
	var refused sync.Once
	respond := func(c net.Conn, r *http.Request) {
		answer := respondOK
		refused.Do(func() {
			k.changeKeys()
			answer = respondNotRun
		})
		answer(c, r)
	}
	k = newKeyEnv(t, 4, respond, respond)
	resp, _, err := k.do(path, "Key", key)
	require.NoError(t, err)
	requireHolder(t, resp, key, k.told()[1:])
}

func requireWaitStops(t *testing.T, path, key string) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	hold := func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/open/held" {
			entered <- struct{}{}
			<-release
		}
		respondOK(c, r)
	}
	k := newKeyEnv(t, 1, hold)
	held := make(chan int, 2)
	for range cap(held) {
		go func() { held <- k.status("/open/held", "Key", "") }()
		<-entered
	}
	time.AfterFunc(100*time.Millisecond, func() {
		k.changeKeys()
		close(release)
	})
	resp, _, err := k.do(path, "Key", key)
	require.NoError(t, err)
	for range cap(held) {
		require.Equal(t, http.StatusOK, <-held)
	}
	requireHolder(t, resp, key, k.told()[cap(held):])
}

func requireUploadStops(t *testing.T, path, key string) {
	k := newKeyEnv(t, 4, respondOK)
	body, writer := io.Pipe()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, k.url+path, body)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Id", "upload")
	r.Header.Set("Key", key)
	go func() {
		_, _ = io.WriteString(writer, "first")
		time.Sleep(100 * time.Millisecond)
		k.changeKeys()
		_ = writer.Close()
	}()
	resp, err := k.client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	requireHolder(t, resp, key, k.told())
}

// TestKeyThatMovesEndsTheHedge guards against a copy that is sent under the account of before.
func TestKeyThatMovesEndsTheHedge(t *testing.T) {
	for _, path := range []string{"/open/x", "/read/x"} {
		h := newHedgeEnv(t, hedgeRule, path)
		h.play(func(c net.Conn, r *http.Request) {
			h.changeRules("account acme", "account bold")
			time.Sleep(10 * usualTime)
			respondOK(c, r)
		})
		_, body, err := h.do(path)
		require.NoError(t, err)
		require.Equal(t, "for acme", body)
		require.Equal(t, 1, h.sent())
	}
}

// TestNobodyHoldsTheEmptyKey guards against an account whose list of keys has an empty one: callers
// without a key were taken for it, so that its routes were open.
func TestNobodyHoldsTheEmptyKey(t *testing.T) {
	k := newKeyEnv(t, 4, respondOK)
	k.changeRules(keysBefore, accountRule("acme", "", "kept"))
	resp, _, err := k.do("/read/x", "Key", "")
	require.NoError(t, err)
	require.Equal(t, fault.UnknownKey, resp.Header.Get("Kind"))
	require.Equal(t, http.StatusOK, k.status("/open/x", "Key", ""))
	require.Equal(t, http.StatusOK, k.status("/read/x", "Key", "kept"))
	require.Equal(t, []string{"", "acme"}, k.told())
}
