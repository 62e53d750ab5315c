package engine_test

// This file tests late copies of responses, which do not name the call that they answer.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/edge/engine"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// copyPause is the time between two calls, in which a kept connection would return to its pool.
const copyPause = 20 * time.Millisecond

// copyingEngine starts an engine that writes the response to the call before once more, if there
// was one on the connection, and then its response to each call, as respond returns it.
func copyingEngine(t *testing.T, respond func(body []byte) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCopies(c, respond)
		}
	}()
	return l.Addr().String()
}

func serveCopies(c net.Conn, respond func(body []byte) string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for previous := ""; ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(c, previous)
		previous = respond(body)
		_, _ = io.WriteString(c, previous)
	}
}

// TestLateCopyOfExportIsNotAnotherChat: an engine repeats the response to the export of one chat
// where that to the export of another chat is due. Taken for that, the cache of one chat would be
// imported as that of the other.
func TestLateCopyOfExportIsNotAnotherChat(t *testing.T) {
	address := copyingEngine(t, func(body []byte) string {
		var req pb.ExportCacheRequest
		_ = proto.Unmarshal(body, &req)
		b, _ := proto.Marshal(&pb.ExportCacheResponse{
			Tokens: 7,
			Blob:   []byte("cache of " + req.GetChat()),
		})
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	})
	client := &engine.Client{}
	for _, chat := range []string{"a", "b"} {
		resp, err := client.ExportCache(t.Context(), address, chat)
		require.NoError(t, err)
		require.Equal(t, "cache of "+chat, string(resp.GetBlob()))
		time.Sleep(copyPause)
	}
}

// TestLateCopyOfOrderResponseIsNotTheNext: an engine repeats the response to one order where that
// to the next is due, which it rejects. Taken for that, the rejected order would count as executed.
func TestLateCopyOfOrderResponseIsNotTheNext(t *testing.T) {
	const (
		done     = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n"
		problem  = `{"code":"failed_precondition","message":"old fencing number"}`
		rejected = "HTTP/1.1 400 X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	)
	address := copyingEngine(t, func(body []byte) string {
		var req pb.OrderRequest
		_ = proto.Unmarshal(body, &req)
		if req.GetOrderId() == 1 {
			return done
		}
		return fmt.Sprintf(rejected, len(problem), problem)
	})
	client := &engine.Client{}
	require.NoError(t, client.Order(t.Context(), address, &pb.OrderRequest{
		OrderId: 1,
	}))
	time.Sleep(copyPause)
	require.Error(t, client.Order(t.Context(), address, &pb.OrderRequest{
		OrderId: 2,
	}))
}
