package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/portrange"
)

// argsVariable is the environment variable with which a test runs this program in a process
// of its own; it holds the arguments, one a line.
const argsVariable = "CAMPHORD_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(argsVariable); args != "" {
		os.Exit(run(strings.Split(args, "\n")))
	}
	os.Exit(m.Run())
}

// TestSecondTermCutsNoPlannedStop: a process that got SIGTERM once more while it finished its
// requests was terminated at once, and cut them off. It must use its grace period and exit
// with 0, however many such signals come.
func TestSecondTermCutsNoPlannedStop(t *testing.T) {
	ports, release, err := portrange.New()
	require.NoError(t, err)
	defer release()
	address := func(offset int) string { return ports.Address("127.0.0.1", offset) }
	args := []string{
		"-instance", "e1", "-failure-domain", "a", "-ip", "127.0.0.1",
		"-front", address(10), "-ready", address(11), "-directory", address(12), "-operator", address(13),
		"-ports", fmt.Sprintf("%d,%d", ports.First, ports.First+5), "-seeds", address(13), "-first-start=true",
		"-list", "127.0.0.1:1", "-grace-s", "3", "-data-dir", t.TempDir(),
	}
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), argsVariable+"="+strings.Join(args, "\n"))
	require.NoError(t, process.Start())
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + address(11) + "/api/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}, 10*time.Second, 20*time.Millisecond)
	began := time.Now()
	for range 3 {
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		time.Sleep(300 * time.Millisecond)
	}
	require.NoError(t, process.Wait())
	require.Greater(t, time.Since(began), 2*time.Second, "the process did not wait for its requests")
}

// TestSignals checks that SIGHUP, which reloads the settings, never ends the
// process, even when the new settings are invalid, and that SIGTERM ends it
// gracefully with exit code 0.
func TestSignals(t *testing.T) {
	ports, release, err := portrange.New()
	require.NoError(t, err)
	defer release()
	address := func(offset int) string { return ports.Address("127.0.0.1", offset) }
	path := filepath.Join(t.TempDir(), "settings")
	settingsText := func(seeds string) []byte {
		return fmt.Appendf(nil, "instance e1\nfailure-domain a\nip 127.0.0.1\nfront %s\nready %s\ndirectory %s\noperator %s\nports %d,%d\nseeds %s\nfirst-start true\nlist 127.0.0.1:1\ngrace-s 1\ndata-dir %s\n",
			address(10), address(11), address(12), address(13), ports.First, ports.First+5, seeds, filepath.Join(t.TempDir(), "data"))
	}
	require.NoError(t, os.WriteFile(path, settingsText(address(13)), 0o600))
	exitCode := make(chan int, 1)
	go func() { exitCode <- run([]string{"-config", path}) }()
	isListening := func() bool {
		resp, err := http.Get("http://" + address(11) + "/api/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}
	require.Eventually(t, isListening, 10*time.Second, 20*time.Millisecond)
	for _, seeds := range []string{address(13) + ",127.0.0.2:9999", "not an address"} {
		require.NoError(t, os.WriteFile(path, settingsText(seeds), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(200 * time.Millisecond)
		require.True(t, isListening())
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case code := <-exitCode:
		require.Zero(t, code)
	case <-time.After(10 * time.Second):
		t.Fatal("the process did not exit within 10 s of SIGTERM")
	}
}
