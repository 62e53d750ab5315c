package ingress_test

// This file tests what an instance records of the headers in which servers report on
// themselves.

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/metrics"
)

// TestUnreadableHeaderIsCountedAndLoggedOnce: a header in a form that an instance cannot read
// went unnoticed, and placement went on without the load that it states. Every response
// carries it, so a line for each would fill the log.
func TestUnreadableHeaderIsCountedAndLoggedOnce(t *testing.T) {
	e := newTestEnv(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nOdd: 3;1;8\r\nWork: 250\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	})
	meters, handler, stop, err := metrics.New(metrics.Callbacks{
		ControlBytes: func() map[string]uint64 { return nil },
		Violations:   func() map[string]uint64 { return nil },
		Loads:        func() map[string]int { return nil },
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	log, hook := test.NewNullLogger()
	e.handler.Meters, e.handler.Logger = meters, log
	for range 3 {
		require.Equal(t, http.StatusOK, e.status("/read/x"))
	}
	count := func(message string) (entries []*logrus.Entry) {
		for _, entry := range hook.AllEntries() {
			if entry.Message == message {
				entries = append(entries, entry)
			}
		}
		return entries
	}
	// The last line is written after the response.
	require.Eventually(t, func() bool { return len(count("ingress: request ended")) == 3 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 250, count("ingress: request ended")[2].Data["workPercent"])
	warnings := count("ingress: a header of a server cannot be read; the unreadable values are ignored")
	require.Len(t, warnings, 1)
	require.Equal(t, logrus.Fields{
		"server":  "b0",
		"service": "s",
		"header":  "Odd",
		"value":   "3;1;8",
	}, warnings[0].Data)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Regexp(t, `camphorspoke_unreadable_headers_total\{header="Odd".*\} 3\n`, w.Body.String())
}
