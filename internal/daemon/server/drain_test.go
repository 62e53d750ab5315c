package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/ingress"
)

// pipeListener accepts the ends of pipes, which hold no bytes: a write waits for its reader.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestResponseIsWrittenBeforeConnectionsClose: a request has ended, but its caller has not
// read the response yet when the drained instance closes its connections. The caller must
// get the whole response; it got none, or one without its end.
func TestResponseIsWrittenBeforeConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		handled := make(chan struct{})
		e := &entry{
			instance: &instance{
				log: log,
			},
			handler: &ingress.Handler{},
			front: &http.Server{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "whole")
					close(handled)
				}),
			},
		}
		l := &pipeListener{
			conns:  make(chan net.Conn),
			closed: make(chan struct{}),
		}
		go func() { _ = e.front.Serve(l) }()
		client, server := net.Pipe()
		defer client.Close()
		l.conns <- server
		_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		<-handled
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			e.finishResponses()
			_ = e.front.Close()
		}()
		time.Sleep(flushTimeout / 2)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		<-closed
	})
}
