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

	"camphorspoke/internal/edge"
	"camphorspoke/internal/standin/plain"
	"camphorspoke/internal/world/fault"
)

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestOutcomes: only a failed dial and the server's own word are proof that a
// call was not run.
func TestOutcomes(t *testing.T) {
	service := &plain.Service{}
	good := httptest.NewServer(service)
	defer good.Close()
	breaks := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	}))
	defer breaks.Close()
	fails := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer fails.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	l.Close()

	call := edge.Call{
		Name: "book",
		Key:  "k1",
		Body: []byte("x"),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := New()
	body, err := c.Call(ctx, address(good), call)
	require.NoError(t, err)
	require.Equal(t, "ok x", string(body))
	require.Equal(t, 1, service.Executions("k1"))

	_, err = http.Post(good.URL+"/refuse", "", nil)
	require.NoError(t, err)
	_, err = c.Call(ctx, address(good), call)
	require.Equal(t, fault.NotRun, fault.KindOf(err))
	require.Equal(t, 1, service.Executions("k1"))

	_, err = c.Call(ctx, closed, call)
	require.Equal(t, fault.NotRun, fault.KindOf(err))
	_, err = c.Call(ctx, address(breaks), call)
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	_, err = c.Call(ctx, address(fails), call)
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
}
