package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSignals: SIGHUP, which says that the settings may have changed, does not
// end the process, and SIGTERM ends it gracefully.
func TestSignals(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	base := l.Addr().(*net.TCPAddr).Port%20_000 + 20_000
	require.NoError(t, l.Close())
	at := func(use int) string { return fmt.Sprintf("127.0.0.1:%d", base+use) }
	path := filepath.Join(t.TempDir(), "settings")
	text := func(seeds string) []byte {
		return fmt.Appendf(nil, "instance e1\nfailure-domain a\nip 127.0.0.1\nfront %s\nready %s\ndirectory %s\noperator %s\nports %d,%d\nseeds %s\nfirst-start true\nlist 127.0.0.1:1\ngrace-s 1\ndata-dir %s\n",
			at(10), at(11), at(12), at(13), base, base+5, seeds, filepath.Join(t.TempDir(), "data"))
	}
	require.NoError(t, os.WriteFile(path, text(at(13)), 0o600))
	ended := make(chan int, 1)
	go func() { ended <- run([]string{"-config", path}) }()
	alive := func() bool {
		resp, err := http.Get("http://" + at(11) + "/api/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}
	require.Eventually(t, alive, 10*time.Second, 20*time.Millisecond)
	for _, seeds := range []string{at(13) + ",127.0.0.2:9999", "not an address"} {
		require.NoError(t, os.WriteFile(path, text(seeds), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(200 * time.Millisecond)
		require.True(t, alive())
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case code := <-ended:
		require.Zero(t, code)
	case <-time.After(10 * time.Second):
		t.Fatal("the process does not end")
	}
}
