package ingress_test

// This file tests bodies of requests whose connection ends before they do.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCutBodyInChunksIsNotPassedOn: the connection of a caller ends inside a body in chunks. The
// part that has arrived must not be taken for the whole body, as a server would run a request that
// nobody sent.
func TestCutBodyInChunksIsNotPassedOn(t *testing.T) {
	const requests = 50
	received := make(chan string, 2*requests)
	e := newTestEnv(t)
	e.start(ruleTextWithKey(), []string{e.wholeBodies(received)})
	for i := range requests {
		// A connection to the server is idle: a new one is not dialed for a caller who has left.
		require.Equal(t, http.StatusOK, e.status("/book/"))
		c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /book/ HTTP/1.1\r\nHost: h\r\nId: c%d\r\nKey: secret\r\nTransfer-Encoding: chunked\r\n\r\na\r\n01234", i)
		require.NoError(t, err)
		require.NoError(t, c.Close())
		time.Sleep(5 * time.Millisecond)
	}
	partial := 0
	for len(received) > 0 {
		if <-received != "body" {
			partial++
		}
	}
	require.Zero(t, partial, "partial bodies that a server received as whole ones")
}
