// Package entryfleet tests entry instances of the users' platform as a whole:
// three daemons on loopback addresses, with a stand-in for the platform's list
// and for backend servers.
package entryfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/client/command"
	"camphorspoke/internal/daemon/server"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/edge"
	"camphorspoke/platform/dialect"
	"camphorspoke/platform/endpoints"
	"camphorspoke/platform/list"
)

// fleet is three daemons and what is around them.
type fleet struct {
	t       *testing.T
	base    int
	dir     string
	list    *httptest.Server
	backend *httptest.Server
	seen    sync.Map
	work    atomic.Int64
	log     *logrus.Logger

	mu    sync.Mutex
	stops map[int]context.CancelFunc
	ended map[int]chan error
}

const (
	front = iota + 10
	ready
	directory
	operator
)

// freePorts returns a base from which on some ports are likely to be free.
func freePorts(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port%20_000 + 20_000
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:     t,
		base:  freePorts(t),
		dir:   t.TempDir(),
		stops: make(map[int]context.CancelFunc),
		ended: make(map[int]chan error),
		log:   logrus.New(),
	}
	f.log.SetOutput(io.Discard)
	f.backend = httptest.NewServer(http.HandlerFunc(f.serveBackend))
	t.Cleanup(f.backend.Close)
	f.list = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[{"service":"app","address":"%s","zone":"a","slots":8,"state":"ready","id":"i-1"}],"nextToken":null}`,
			strings.TrimPrefix(f.backend.URL, "http://"))
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

// serveBackend stands in for a backend server that works for a while.
func (f *fleet) serveBackend(w http.ResponseWriter, r *http.Request) {
	f.seen.Store(r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant"))
	time.Sleep(time.Duration(f.work.Load()))
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", "signed")
	io.WriteString(w, "served")
}

func ip(i int) string { return fmt.Sprintf("127.0.0.%d", i) }

func (f *fleet) at(i, use int) string { return fmt.Sprintf("%s:%d", ip(i), f.base+use) }

func (f *fleet) start(i int, first bool) {
	f.t.Helper()
	set, err := settings.Parse([]string{
		"-instance", fmt.Sprintf("e%d", i),
		"-failure-domain", "a",
		"-ip", ip(i),
		"-front", f.at(i, front),
		"-ready", f.at(i, ready),
		"-directory", f.at(i, directory),
		"-operator", f.at(i, operator),
		"-ports", fmt.Sprintf("%d,%d", f.base, f.base+5),
		"-seeds", fmt.Sprintf("%s,%s,%s", f.at(1, operator), f.at(2, operator), f.at(3, operator)),
		fmt.Sprintf("-first-start=%t", first),
		"-list", strings.TrimPrefix(f.list.URL, "http://"),
		"-data-dir", filepath.Join(f.dir, fmt.Sprint(i)),
		"-grace-s", "3",
		"-revoke-ms", "5000",
	})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	f.mu.Lock()
	f.stops[i], f.ended[i] = cancel, ended
	f.mu.Unlock()
	outside := server.Outside{
		Dialect: dialect.Dialect{},
		List: &list.Client{
			Address: set.Entry.List,
			HTTP:    http.DefaultClient,
			Logger:  f.log,
		},
		Endpoints: func(d edge.Directory, r edge.Rulebook) edge.Endpoints {
			return &endpoints.Endpoints{
				Directory: d,
				Rulebook:  r,
				Logger:    f.log,
			}
		},
		Settings: func() (*settings.Settings, error) { return set, nil },
	}
	go func() { ended <- server.Run(ctx, set, outside, f.log) }()
}

// stop stops an instance gracefully and waits for its end.
func (f *fleet) stop(i int) {
	f.mu.Lock()
	cancel, ended := f.stops[i], f.ended[i]
	delete(f.stops, i)
	f.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	select {
	case err := <-ended:
		require.NoError(f.t, err)
	case <-time.After(10 * time.Second):
		f.t.Errorf("instance %d does not end", i)
	}
}

// camphor runs the operators' client against an instance.
func (f *fleet) camphor(i int, args ...string) string {
	f.t.Helper()
	var out strings.Builder
	const operatorPort = 2
	require.NoError(f.t, command.Root(&out).ParseAndRun(f.t.Context(), append([]string{"-addr", f.at(i, operatorPort)}, args...)))
	return out.String()
}

var client = &http.Client{
	Timeout: 5 * time.Second,
}

func (f *fleet) put(i int, version int, key string) int {
	f.t.Helper()
	body, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r", "host": "h.example", "pathPrefix": "/p/", "kind": "unsafe", "timeoutMs": 2500, "service": "app", "attempts": 1}},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health"}},
		"tenants":  []any{map[string]any{"name": "acme", "keys": []string{key}}},
	})
	require.NoError(f.t, err)
	resp, err := client.Post("http://"+f.at(i, operator)+"/api/configuration/replace", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) accepted(i int, version int, key string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.put(i, version, key) == http.StatusOK }, 20*time.Second, 50*time.Millisecond)
}

func (f *fleet) ask(i int, id, key string) (int, string) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.at(i, front)+"/p/x", strings.NewReader("b"))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	resp, err := client.Do(r)
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

func (f *fleet) serves(i int, key string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		status, body := f.ask(i, fmt.Sprintf("s%d-%s", i, key), key)
		return status == http.StatusOK && body == "served"
	}, 20*time.Second, 50*time.Millisecond)
}

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

// TestFleet walks the whole path: a first start by seeds, a configuration, its
// changes on every instance, a graceful stop, and a restart of all.
func TestFleet(t *testing.T) {
	f := newFleet(t)
	status, _ := get("http://" + f.at(1, ready) + "/api/ready")
	require.NotEqual(t, http.StatusOK, status, "not ready without a configuration")
	status, _ = f.ask(1, "early", "k1")
	require.NotContains(t, []int{http.StatusNotFound, http.StatusUnauthorized}, status, "nothing is known to be unknown yet")

	f.accepted(2, 7, "k1")
	for i := 1; i <= 3; i++ {
		f.serves(i, "k1")
	}
	tenant, _ := f.seen.Load("s1-k1")
	require.Equal(t, "acme", tenant)
	status, body := get("http://" + f.at(3, directory) + "/api/resolve?name=h.example&region=r&zone=a")
	require.Equal(t, http.StatusOK, status)
	for i := 1; i <= 3; i++ {
		require.Contains(t, body, f.at(i, front))
	}

	// An older version is acknowledged and changes nothing; a key that is taken
	// away stops working everywhere.
	f.accepted(1, 3, "old")
	f.accepted(3, 9, "k2")
	for i := 1; i <= 3; i++ {
		f.serves(i, "k2")
		status, _ := f.ask(i, fmt.Sprintf("old%d", i), "k1")
		require.Equal(t, http.StatusUnauthorized, status)
	}
	_, source := get("http://" + f.at(1, operator) + "/api/configuration/read")
	require.Contains(t, source, `"version":9`)

	// The operators' client works at any instance.
	require.Contains(t, f.camphor(2, "show"), "route r host=h.example prefix=/p/ kind=unsafe to=app")
	require.NotContains(t, f.camphor(2, "show"), "k2", "keys are not shown")
	require.Contains(t, f.camphor(3, "status"), "e1")

	// A graceful stop cuts off nothing and answers what still comes.
	f.work.Store(int64(700 * time.Millisecond))
	answers := make(chan int, 4)
	for n := range 4 {
		go func() {
			status, _ := f.ask(1, fmt.Sprintf("stop%d", n), "k2")
			answers <- status
		}()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		f.stop(1)
		close(stopped)
	}()
	for range 4 {
		require.Equal(t, http.StatusOK, <-answers)
	}
	f.work.Store(0)
	require.Eventually(t, func() bool {
		_, body := get("http://" + f.at(2, directory) + "/api/resolve?name=h.example&region=r&zone=a")
		return !strings.Contains(body, f.at(1, front))
	}, 10*time.Second, 50*time.Millisecond)

	// All stop; what was acknowledged is there after the restart.
	f.stop(2)
	f.stop(3)
	<-stopped
	for i := 1; i <= 3; i++ {
		f.start(i, false)
	}
	for i := 1; i <= 3; i++ {
		f.serves(i, "k2")
	}
	require.Eventually(t, func() bool {
		_, source := get("http://" + f.at(2, operator) + "/api/configuration/read")
		return strings.Contains(source, `"version":9`)
	}, 10*time.Second, 50*time.Millisecond)
}
