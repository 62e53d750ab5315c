package backend_test

// This file fuzzes what a server may send as a response.

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
)

// FuzzResponse sends any bytes in place of a response and then closes the connection. The
// exchange ends in time; what it gives is a response that names the request, or a failure that
// does; and a failure of the exchange leaves open whether the request has run.
func FuzzResponse(f *testing.F) {
	for _, text := range framings {
		f.Add([]byte(text))
		for _, next := range nextAnswers {
			f.Add([]byte(next + text))
			f.Add([]byte(text + next))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		began := time.Now()
		r, _, err := receive(t, []string{string(text)}, closeGracefully)
		require.Less(t, time.Since(began), endlessTimeout)
		if err != nil {
			require.True(t, fault.MayHaveRun(err), "%v", err)
			return
		}
		echo := r.Header.Get("X-Id")
		require.True(t, echo == "1" || echo == "" && r.Status >= http.StatusMultipleChoices, "status %d names %q", r.Status, echo)
	})
}
