package plainservice

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/standin/plain"
)

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestOutcomes: only a dial error and a Not-Run response prove that a call was
// not executed; a dropped connection or status 500 leaves it in doubt.
func TestOutcomes(t *testing.T) {
	service := &plain.Service{}
	healthy := httptest.NewServer(service)
	defer healthy.Close()
	dropsConnection := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	}))
	defer dropsConnection.Close()
	failsWith500 := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer failsWith500.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddress := l.Addr().String()
	l.Close()

	call := edge.Call{
		Name: "book",
		Key:  "k1",
		Body: []byte("x"),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := New()
	body, err := c.Call(ctx, address(healthy), call)
	require.NoError(t, err)
	require.Equal(t, "ok x", string(body))
	require.Equal(t, 1, service.Executions("k1"))

	_, err = http.Post(healthy.URL+"/refuse", "", nil)
	require.NoError(t, err)
	_, err = c.Call(ctx, address(healthy), call)
	require.Equal(t, fault.NotRun, fault.KindOf(err))
	require.Equal(t, 1, service.Executions("k1"))

	_, err = c.Call(ctx, closedAddress, call)
	require.Equal(t, fault.NotRun, fault.KindOf(err))
	_, err = c.Call(ctx, address(dropsConnection), call)
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	_, err = c.Call(ctx, address(failsWith500), call)
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
}
