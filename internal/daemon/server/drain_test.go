package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/settings"
	"camphorspoke/platform/dialect"
)

// TestRequestAfterTheDrainIsRefused: a stopping instance found no request in flight, and one
// that arrived before its connections were closed was passed on and cut off. It must be
// refused as not run.
func TestRequestAfterTheDrainIsRefused(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &entry{
		instance: &instance{
			cfg: &settings.Settings{},
			log: log,
			adapters: PlatformAdapters{
				Dialect: dialect.Dialect{},
			},
		},
	}
	passedOn := 0
	h := e.countInFlight(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passedOn++ }))
	serve := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/book/x", nil))
		return w
	}
	require.Equal(t, http.StatusOK, serve().Code)
	require.True(t, e.gate.CloseIfIdle())
	w := serve()
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "close", w.Header().Get("Connection"))
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Equal(t, 1, passedOn)
}
