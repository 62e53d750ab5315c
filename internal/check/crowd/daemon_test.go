// Package crowd tests that a daemon outlives clients that nobody controls: a process of
// its own with low limits faces a crowd of connections that send too much, too slowly or
// nothing, and must stay within its memory and descriptors and still answer an ordinary
// request. The tests check no times and no share of the requests.
package crowd

// This file defines daemon, the process under test, and the stand-ins that it uses.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/fleet"
	"camphorspoke/internal/check/portrange"
)

const (
	// answerLimit ends the wait for an answer of a daemon that hangs.
	answerLimit = 40 * time.Second
	// attemptLimit ends one attempt of an ordinary client.
	attemptLimit = 5 * time.Second
)

// binary is the daemon's program. It is built without the race detector, which takes
// several times the memory.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "camphor-crowd-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "camphord")
	if out, err := exec.Command("go", "build", "-o", binary, "camphorspoke/cmd/camphord").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// daemon is a process that serves one plain service, configured with the limits that the
// known deployments have.
type daemon struct {
	t       *testing.T
	process *fleet.Process
	ports   portrange.Range
}

// The port offsets of the addresses.
const (
	frontPort = iota + 10
	readyPort
	directoryPort
	operatorPort
)

const configuration = `{"version":7,
	"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000},
	"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"unsafe","timeoutMs":20000,"service":"app","attempts":1}],
	"services":[{"name":"app","healthPath":"/health"}],
	"tenants":[{"name":"acme","keys":["k1"]}]}`

// startDaemon starts a daemon with the given limits and waits until it serves.
func startDaemon(t *testing.T, memoryMB, descriptors int) *daemon {
	t.Helper()
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "signed")
		_, _ = io.WriteString(w, "served")
	}))
	t.Cleanup(backend.Close)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[{"service":"app","address":%q,"zone":"a","slots":8,"state":"ready","id":"i-1","version":"v1","coldMs":0}],"nextToken":null}`, strings.TrimPrefix(backend.URL, "http://"))
	}))
	t.Cleanup(list.Close)
	d := &daemon{
		t:     t,
		ports: ports,
	}
	// An older build has no flag for the descriptors; it ignores the variable.
	t.Setenv("CAMPHORD_FILE_DESCRIPTORS", fmt.Sprint(descriptors))
	dir := t.TempDir()
	d.process, err = fleet.Launch(binary, dir, "e1", d.address(frontPort), []string{
		"-instance", "e1", "-failure-domain", "a", "-ip", "127.0.0.1",
		"-front", d.address(frontPort), "-ready", d.address(readyPort),
		"-directory", d.address(directoryPort), "-operator", d.address(operatorPort),
		"-ports", fmt.Sprintf("%d,%d", ports.First, ports.First+5),
		"-seeds", d.address(operatorPort), "-first-start=true", "-losses-borne", "0",
		"-list", strings.TrimPrefix(list.URL, "http://"), "-data-dir", filepath.Join(dir, "data"),
		"-memory-mb", fmt.Sprint(memoryMB), "-cores", "1",
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		d.process.Kill()
		if t.Failed() {
			b, _ := os.ReadFile(filepath.Join(dir, "e1.log"))
			t.Logf("end of the daemon's log: %s", b[max(0, len(b)-2000):])
		}
	})
	require.Eventually(t, func() bool {
		resp, err := client().Post("http://"+d.address(operatorPort)+"/api/configuration/replace", "application/json", strings.NewReader(configuration))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, answerLimit, 100*time.Millisecond)
	d.requireServes()
	return d
}

func (d *daemon) address(offset int) string { return d.ports.Address("127.0.0.1", offset) }

// client returns a client that opens a connection for each request.
func client() *http.Client {
	return &http.Client{
		Timeout: attemptLimit,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
}

// status returns the status of a response, 0 if there is none.
func status(r *http.Request) int {
	resp, err := client().Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// ordinaryRequest is a request within all limits, with a body of some KB.
func (d *daemon) ordinaryRequest(body string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.address(frontPort)+"/p/x", strings.NewReader(body))
	require.NoError(d.t, err)
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set("Authorization", "Token k1")
	return r
}

// requireServes requires that an ordinary request is answered, and that the other addresses
// answer.
func (d *daemon) requireServes() {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		return status(d.ordinaryRequest(strings.Repeat("b", 3000))) == http.StatusOK
	}, answerLimit, 100*time.Millisecond, "no ordinary request is answered")
	for offset, path := range map[int]string{
		readyPort:     "/api/ready",
		directoryPort: "/api/resolve?name=h.example&region=r&zone=a",
		operatorPort:  "/api/configuration/read",
	} {
		require.Eventually(d.t, func() bool {
			r, err := http.NewRequest(http.MethodGet, "http://"+d.address(offset)+path, nil)
			return err == nil && status(r) == http.StatusOK
		}, answerLimit, 100*time.Millisecond, "%s is not answered", path)
	}
}

// peakBytes returns the largest resident memory that the process has had.
func (d *daemon) peakBytes() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.ID()))
	require.NoError(d.t, err, "the process has ended")
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb := 0
	_, err = fmt.Sscan(rest, &kb)
	require.NoError(d.t, err)
	return kb << 10
}

// descriptors returns the number of open descriptors of the process.
func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.ID()))
	require.NoError(d.t, err, "the process has ended")
	return len(entries)
}

// dial opens a connection to the daemon; nil if it refuses.
func (d *daemon) dial(offset int) net.Conn {
	c, err := net.DialTimeout("tcp", d.address(offset), attemptLimit)
	if err != nil {
		return nil
	}
	return c
}
