package plainservice_test

// This file tests servers that answer a call with a redirect.

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/plainservice"
)

// TestRedirectIsNotFollowed: a server answers a call, which it may have executed, with a redirect.
// To follow it would execute the call again, and a failure to connect there would count as proof
// that the call was not executed.
func TestRedirectIsNotFollowed(t *testing.T) {
	for name, c := range map[string]struct {
		status   int
		location string
		body     []byte
	}{
		"same method, no body":   {http.StatusTemporaryRedirect, "/call/again", nil},
		"other resource":         {http.StatusSeeOther, "/other", []byte("x")},
		"unreachable, no body":   {http.StatusTemporaryRedirect, "http://127.0.0.1:1/", nil},
		"unreachable, with body": {http.StatusFound, "http://127.0.0.1:1/", []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if requests.Add(1) == 1 {
					w.Header().Set("Location", c.location)
					w.WriteHeader(c.status)
				}
			}))
			t.Cleanup(s.Close)
			_, err := plainservice.New().Call(t.Context(), s.Listener.Addr().String(), edge.Call{
				Name: "order",
				Key:  "1-abcdefgh",
				Body: c.body,
			})
			require.EqualValues(t, 1, requests.Load())
			require.Equal(t, fault.InDoubt, fault.KindOf(err))
		})
	}
}
