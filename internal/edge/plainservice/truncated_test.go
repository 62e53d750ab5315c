package plainservice_test

// This file tests responses without a length whose connection is reset while the body of the call is
// being written.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/plainservice"
)

// TestResponseResetWithinACallIsInDoubt: a server answers a call with a long body at once, without a
// length, sends a part of its response and resets the connection. The part must not count as the response.
func TestResponseResetWithinACallIsInDoubt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 64)); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part")
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	for range 200 {
		body, err := plainservice.New().Call(t.Context(), l.Addr().String(), edge.Call{
			Name: "price",
			Body: make([]byte, 16<<20),
		})
		require.Error(t, err, "a part of the response counts as complete: %q", body)
		require.Equal(t, fault.InDoubt, fault.KindOf(err))
	}
}
