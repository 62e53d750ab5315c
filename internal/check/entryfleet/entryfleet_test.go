// Package entryfleet tests entry instances, the daemons that serve the callers of
// the users' platform, from end to end. Three daemons run in the test process on
// loopback addresses, with stand-ins for the platform's list and a backend
// server.
package entryfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/portrange"
	"camphorspoke/internal/client/command"
	"camphorspoke/internal/daemon/server"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/edge"
	"camphorspoke/platform/dialect"
	"camphorspoke/platform/endpoints"
	"camphorspoke/platform/serverlist"
)

// fleet is three daemons and the stand-ins for the systems that they use.
type fleet struct {
	t *testing.T
	// basePort is the first of the ports that each instance uses.
	basePort int
	dir      string
	list     *httptest.Server
	backend  *httptest.Server
	// tenants holds the tenant that the backend server received, by attempt id.
	tenants sync.Map
	// backendDelay is how long the backend server takes, in nanoseconds.
	backendDelay atomic.Int64
	log          *logrus.Logger

	mu sync.Mutex
	// cancels and results hold, by instance, the function that stops it and the
	// channel that gives the result of server.Run.
	cancels map[int]context.CancelFunc
	results map[int]chan error
}

// Offsets from basePort of the ports for callers and the platform. The ports
// below them are for traffic between instances and the operator service.
const (
	frontPort = iota + 10
	readyPort
	directoryPort
	configurationPort

	// operatorServicePort serves the operators' client and the metrics.
	operatorServicePort = 2
)

// newFleet starts a fleet with one backend server, f.backend.
func newFleet(t *testing.T) *fleet { return newFleetOf(t) }

// newFleetOf starts a fleet whose platform lists the given backend servers, in JSON; if
// there are none, f.backend.
func newFleetOf(t *testing.T, entries ...string) *fleet {
	t.Helper()
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	f := &fleet{
		t:        t,
		basePort: ports.First,
		dir:      t.TempDir(),
		cancels:  make(map[int]context.CancelFunc),
		results:  make(map[int]chan error),
		log:      logrus.New(),
	}
	f.log.SetOutput(keptOnFailure(t))
	f.backend = httptest.NewServer(http.HandlerFunc(f.serveBackend))
	t.Cleanup(f.backend.Close)
	if len(entries) == 0 {
		entries = []string{fmt.Sprintf(`{"service":"app","address":"%s","zone":"a","slots":8,"state":"ready","id":"i-1","version":"v1","coldMs":0}`, strings.TrimPrefix(f.backend.URL, "http://"))}
	}
	f.list = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(entries, ","))
	}))
	t.Cleanup(f.list.Close)
	for i := 1; i <= 3; i++ {
		f.start(i, true)
	}
	t.Cleanup(func() {
		for i := 1; i <= 3; i++ {
			f.stop(i)
		}
	})
	return f
}

// serveBackend is the handler of the stand-in for a backend server. It answers
// after backendDelay.
func (f *fleet) serveBackend(w http.ResponseWriter, r *http.Request) {
	f.tenants.Store(r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant"))
	time.Sleep(time.Duration(f.backendDelay.Load()))
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", "signed")
	io.WriteString(w, "served")
}

// ip returns the loopback address of the i-th instance, counted from 1.
func ip(i int) string { return fmt.Sprintf("127.0.0.%d", i) }

// addr returns the address of an instance at the given port offset.
func (f *fleet) addr(i, offset int) string { return fmt.Sprintf("%s:%d", ip(i), f.basePort+offset) }

// start starts an instance. first allows its control replica to form a new
// control group.
func (f *fleet) start(i int, first bool) {
	f.t.Helper()
	cfg, err := settings.Parse([]string{
		"-instance", fmt.Sprintf("e%d", i),
		"-failure-domain", "a",
		"-ip", ip(i),
		"-front", f.addr(i, frontPort),
		"-ready", f.addr(i, readyPort),
		"-directory", f.addr(i, directoryPort),
		"-operator", f.addr(i, configurationPort),
		"-ports", fmt.Sprintf("%d,%d", f.basePort, f.basePort+5),
		"-seeds", fmt.Sprintf("%s,%s,%s", f.addr(1, configurationPort), f.addr(2, configurationPort), f.addr(3, configurationPort)),
		fmt.Sprintf("-first-start=%t", first),
		"-list", strings.TrimPrefix(f.list.URL, "http://"),
		"-data-dir", filepath.Join(f.dir, fmt.Sprint(i)),
		"-grace-s", "3",
		"-revoke-ms", "5000",
	})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	f.mu.Lock()
	f.cancels[i], f.results[i] = cancel, result
	f.mu.Unlock()
	adapters := server.PlatformAdapters{
		Dialect: dialect.Dialect{},
		List: &serverlist.Client{
			Address: cfg.Entry.List,
			HTTP:    http.DefaultClient,
			Logger:  f.log,
		},
		Endpoints: func(d edge.Directory, r edge.RuleStore, ev edge.Evacuator) edge.Endpoints {
			return &endpoints.Endpoints{
				Directory: d,
				RuleStore: r,
				Evacuator: ev,
				Logger:    f.log,
			}
		},
		Settings: func() (*settings.Settings, error) { return cfg, nil },
	}
	go func() { result <- server.Run(ctx, cfg, adapters, f.log) }()
}

// stop stops an instance gracefully and waits until it has stopped. It does
// nothing if the instance isn't running.
func (f *fleet) stop(i int) {
	f.mu.Lock()
	cancel, result := f.cancels[i], f.results[i]
	delete(f.cancels, i)
	f.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	select {
	case err := <-result:
		require.NoError(f.t, err)
	case <-time.After(10 * time.Second):
		f.t.Errorf("instance %d did not stop within 10 s", i)
	}
}

// runClient runs the operators' command-line client against an instance and
// returns its output.
func (f *fleet) runClient(i int, args ...string) string {
	f.t.Helper()
	var out strings.Builder
	require.NoError(f.t, command.Root(&out).ParseAndRun(f.t.Context(), append([]string{"-addr", f.addr(i, operatorServicePort)}, args...)))
	return out.String()
}

var client = &http.Client{
	Timeout: 5 * time.Second,
}

// putConfiguration sends a configuration to an instance, with one tenant that has
// the given key, and returns the status of the response, or 0 without one.
func (f *fleet) putConfiguration(i int, version int, key string) int {
	f.t.Helper()
	return f.putTenants(i, version, []any{map[string]any{"name": "acme", "keys": []string{key}}})
}

// putTenants is like putConfiguration, with the list of tenants.
func (f *fleet) putTenants(i int, version int, tenants []any) int {
	f.t.Helper()
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r", "host": "h.example", "pathPrefix": "/p/", "kind": "unsafe", "timeoutMs": 2500, "service": "app", "attempts": 1},
			map[string]any{"name": "o", "host": "h.example", "pathPrefix": "/open/", "kind": "unsafe", "timeoutMs": 2500, "service": "app", "attempts": 1, "public": true},
			map[string]any{"name": "c", "host": "h.example", "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 2500, "service": "llm", "attempts": 2},
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/health"},
			map[string]any{"name": "llm", "healthPath": "/health", "engine": map[string]any{"slots": 8, "kvTokens": 100000}},
		},
		"tenants": tenants,
	})
	require.NoError(f.t, err)
	resp, err := client.Post("http://"+f.addr(i, configurationPort)+"/api/configuration/replace", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// requireAccepted sends a configuration until the instance accepts it.
func (f *fleet) requireAccepted(i int, version int, key string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.putConfiguration(i, version, key) == http.StatusOK }, 20*time.Second, 50*time.Millisecond)
}

// sendRequest sends a request with an attempt id and a tenant's key. It returns
// the status and the body, or 0 and the error.
func (f *fleet) sendRequest(i int, id, key string) (int, string) {
	return f.sendPath(i, "/p/x", id, key)
}

// sendPath is like sendRequest, with a path.
func (f *fleet) sendPath(i int, path, id, key string) (int, string) {
	status, body, _ := f.send(i, path, id, key)
	return status, body
}

// send is like sendPath, and returns the header of the response too.
func (f *fleet) send(i int, path, id, key string) (int, string, http.Header) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.addr(i, frontPort)+path, strings.NewReader("b"))
	if err != nil {
		return 0, err.Error(), nil
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(b), resp.Header
}

// requireServes sends requests with a key until the backend server answers one.
func (f *fleet) requireServes(i int, key string) {
	f.t.Helper()
	f.requirePathServes(i, "/p/x", key)
}

// requirePathServes is like requireServes, with a path.
func (f *fleet) requirePathServes(i int, path, key string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		status, body := f.sendPath(i, path, fmt.Sprintf("s%d-%s", i, key), key)
		return status == http.StatusOK && strings.Contains(body, "served")
	}, 20*time.Second, 50*time.Millisecond)
}

// get returns the status and the body of a response, or 0 and the error.
func get(url string) (int, string) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// TestFleet runs the instances through their life cycle: the first start from
// seeds, a configuration, its changes on every instance, a graceful stop under
// load, and a restart of all instances.
func TestFleet(t *testing.T) {
	f := newFleet(t)
	status, _ := get("http://" + f.addr(1, readyPort) + "/api/ready")
	require.NotEqual(t, http.StatusOK, status, "not ready without a configuration")
	status, _ = f.sendRequest(1, "early", "k1")
	require.NotContains(t, []int{http.StatusNotFound, http.StatusUnauthorized}, status, "without a configuration no route or key may be reported as unknown")

	f.requireAccepted(2, 7, "k1")
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k1")
	}
	tenant, _ := f.tenants.Load("s1-k1")
	require.Equal(t, "acme", tenant)
	status, body := get("http://" + f.addr(3, directoryPort) + "/api/resolve?name=h.example&region=r&zone=a")
	require.Equal(t, http.StatusOK, status)
	for i := 1; i <= 3; i++ {
		require.Contains(t, body, f.addr(i, frontPort))
	}

	// An older version is acknowledged but changes nothing. A key that was
	// removed must stop working on every instance.
	f.requireAccepted(1, 3, "old")
	f.requireAccepted(3, 9, "k2")
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k2")
		status, _ := f.sendRequest(i, fmt.Sprintf("old%d", i), "k1")
		require.Equal(t, http.StatusUnauthorized, status)
	}
	_, configuration := get("http://" + f.addr(1, configurationPort) + "/api/configuration/read")
	require.Contains(t, configuration, `"version":9`)

	// The operators' client works against any instance.
	require.Contains(t, f.runClient(2, "show"), "route r host=h.example prefix=/p/ kind=unsafe to=app")
	require.NotContains(t, f.runClient(2, "show"), "k2", "keys are not shown")
	require.Contains(t, f.runClient(3, "status"), "e1")

	// A graceful stop finishes the requests in flight. The other instances then
	// drop the stopped one from the directory.
	f.backendDelay.Store(int64(700 * time.Millisecond))
	statuses := make(chan int, 4)
	for n := range 4 {
		go func() {
			status, _ := f.sendRequest(1, fmt.Sprintf("stop%d", n), "k2")
			statuses <- status
		}()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		f.stop(1)
		close(stopped)
	}()
	for range 4 {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	f.backendDelay.Store(0)
	require.Eventually(t, func() bool {
		_, body := get("http://" + f.addr(2, directoryPort) + "/api/resolve?name=h.example&region=r&zone=a")
		return !strings.Contains(body, f.addr(1, frontPort))
	}, 10*time.Second, 50*time.Millisecond)

	// The acknowledged configuration survives a stop of all instances.
	f.stop(2)
	f.stop(3)
	<-stopped
	for i := 1; i <= 3; i++ {
		f.start(i, false)
	}
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k2")
	}
	require.Eventually(t, func() bool {
		_, configuration := get("http://" + f.addr(2, configurationPort) + "/api/configuration/read")
		return strings.Contains(configuration, `"version":9`)
	}, 10*time.Second, 50*time.Millisecond)
}

// keptOnFailure returns a file for the log of the instances, which is removed after the test unless it
// has failed.
func keptOnFailure(t *testing.T) io.Writer {
	out, err := os.CreateTemp("", "camphor-entryfleet-*.log")
	require.NoError(t, err)
	t.Cleanup(func() {
		out.Close()
		if t.Failed() {
			t.Logf("the log of the instances is in %s", out.Name())
			return
		}
		_ = os.Remove(out.Name())
	})
	return out
}
