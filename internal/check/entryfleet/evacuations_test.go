package entryfleet

// This file tests the evacuation of a failure domain from the operator's call to the
// requests of callers.

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evacuationMs is how long after its acknowledgement an evacuation may take to hold at
// every instance, in milliseconds.
const evacuationMs = 5000

// evacuate calls the operator's address of an instance and returns the status of the
// response, or 0 without one.
func (f *fleet) evacuate(i int, domain, action string) int {
	resp, err := client.Post("http://"+f.addr(i, configurationPort)+"/api/evacuate/"+domain+"/"+action, "", nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// requireCommitted calls one instance after another until a call is acknowledged.
func (f *fleet) requireCommitted(domain, action string) {
	f.t.Helper()
	i := 0
	require.Eventually(f.t, func() bool {
		i = i%3 + 1
		return f.evacuate(i, domain, action) == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond)
}

// TestEvacuation: a failure domain is evacuated and opened again through different
// instances. In between, its server gets nothing from any instance: after the time that is
// allowed, after a repeated call, after a change of the rules and after a restart of all
// instances.
func TestEvacuation(t *testing.T) {
	var arrivals [2]atomic.Int64
	var entries []string
	for n, zone := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrivals[n].Add(1)
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Signature", "signed")
			fmt.Fprint(w, "served")
		}))
		t.Cleanup(s.Close)
		entries = append(entries, fmt.Sprintf(`{"service":"app","address":"%s","zone":"%s","slots":8,"state":"ready","id":"i-%d","version":"v1","coldMs":0}`,
			strings.TrimPrefix(s.URL, "http://"), zone, n))
	}
	f := newFleetOf(t, entries...)
	f.requireAccepted(2, 7, "k1")
	requests := 0
	// send sends requests to every instance and requires that all are served.
	send := func(key string) {
		for range 10 {
			for i := 1; i <= 3; i++ {
				requests++
				status, _ := f.sendRequest(i, fmt.Sprint("r", requests), key)
				require.Equal(t, http.StatusOK, status)
			}
		}
	}
	requireAllServe := func(key string) {
		for i := 1; i <= 3; i++ {
			f.requireServes(i, key)
		}
	}
	requireAllServe("k1")
	send("k1")
	require.NotZero(t, arrivals[0].Load(), "the instances are in the failure domain of this server")

	require.Equal(t, http.StatusNotFound, f.evacuate(1, "nowhere", "start"))
	require.NotContains(t, f.runClient(1, "status"), "evacuation")
	require.Equal(t, http.StatusOK, f.evacuate(1, "a", "start"))
	require.Equal(t, http.StatusOK, f.evacuate(2, "a", "start"), "a repeat is acknowledged")
	time.Sleep(evacuationMs * time.Millisecond)
	before := arrivals[0].Load()
	send("k1")
	require.Equal(t, before, arrivals[0].Load())
	status := f.runClient(3, "status")
	require.Contains(t, status, "evacuation")
	require.Contains(t, status, "1 servers")
	_, metrics := get("http://" + f.addr(3, operatorServicePort) + "/metrics")
	require.Regexp(t, `camphorspoke_evacuated_domains\{failureDomain="a"[^}]*\} 1\n`, metrics)

	f.requireAccepted(3, 9, "k2")
	requireAllServe("k2")
	send("k2")
	for i := 1; i <= 3; i++ {
		f.stop(i)
	}
	for i := 1; i <= 3; i++ {
		f.start(i, false)
	}
	requireAllServe("k2")
	send("k2")
	require.Equal(t, before, arrivals[0].Load(), "the evacuation survives a change of the rules and a restart")

	f.requireCommitted("a", "finish")
	require.Eventually(t, func() bool {
		send("k2")
		return arrivals[0].Load() > before
	}, evacuationMs*time.Millisecond, 50*time.Millisecond)
	f.runClient(2, "evacuate", "-reason", "test", "b")
	time.Sleep(evacuationMs * time.Millisecond)
	before = arrivals[1].Load()
	send("k2")
	require.Equal(t, before, arrivals[1].Load())
	f.runClient(1, "evacuate", "-finish", "-reason", "test", "b")
}

// TestEvacuationWithoutLeader: two of three control replicas have been down for so long that
// no leader is in office. A call is refused within the second after which the operator
// repeats it, and is not carried out once the replicas are back.
func TestEvacuationWithoutLeader(t *testing.T) {
	f := newFleet(t)
	f.requireAccepted(1, 7, "k1")
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k1")
	}
	f.stop(2)
	f.stop(3)
	require.Eventually(t, func() bool {
		status, _ := get("http://" + f.addr(1, readyPort) + "/api/ready")
		return status == http.StatusServiceUnavailable
	}, 20*time.Second, 50*time.Millisecond)
	for range 3 {
		start := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, f.evacuate(1, "a", "start"))
		require.Less(t, time.Since(start), 2*time.Second)
	}
	f.start(2, false)
	f.start(3, false)
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k1")
	}
	require.NotContains(t, f.runClient(1, "status"), "evacuation")
}
