package ingress_test

// This file tests what an instance passes on of the limits that servers name.

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// TestLimitsReachTheScheduler: the limits that servers name in a refusal and in an answer got
// lost at the instance, so that the next requests were placed without them.
func TestLimitsReachTheScheduler(t *testing.T) {
	answer := func(c net.Conn, r *http.Request, status string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nSigned: 1\r\nLimit: 7.5\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"))
	}
	e := newTestEnv(t,
		func(c net.Conn, r *http.Request) { answer(c, r, "503 Busy\r\nNot-Run: 1") },
		func(c net.Conn, r *http.Request) { answer(c, r, "200 OK") },
	)
	log, hook := test.NewNullLogger()
	e.handler.Logger = log
	served := func() bool { return e.status("/read/x") == http.StatusOK }
	limited := func() bool { return e.handler.Placer.Schedulers().LimitedServers()["s"] == 2 }
	require.Eventually(t, func() bool { return served() && limited() }, 5*time.Second, 10*time.Millisecond)
	ended := func(entry *logrus.Entry) bool {
		return entry.Message == "ingress: request ended" && entry.Data["serverLimit"] == 7.5
	}
	// The line is written after the response.
	require.Eventually(t, func() bool {
		for _, entry := range hook.AllEntries() {
			if ended(entry) {
				return true
			}
		}
		return false
	}, 5*time.Second, time.Millisecond)
}
