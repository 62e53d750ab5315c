package engine_test

// This file tests engines that send messages without end.

import (
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/heap"
	"camphorspoke/internal/edge/engine"
	"camphorspoke/internal/edge/link"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// maxWritten bounds what an engine in these tests sends, in bytes, and measureStep is after
	// how many bytes the memory is measured.
	maxWritten  = 256 << 20
	measureStep = 16 << 20
	// maxHeld is what one response may hold, in bytes.
	maxHeld = 32 << 20
)

// endlessEngine starts an engine that answers with begin and then sends bytes until the client
// closes the connection. It fails the test if more than maxHeld is held meanwhile.
func endlessEngine(t *testing.T, contentType string, begin []byte) string {
	t.Helper()
	before := heap.InUse()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(begin)
		part := []byte(strings.Repeat("x", 64<<10))
		for written := 0; written < maxWritten; written += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
			if written%measureStep != 0 {
				continue
			}
			if held := heap.InUse() - before; held > maxHeld {
				t.Errorf("%d bytes are held after %d were sent", held, written)
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestEndlessFrame: a frame of a stream that claims to be larger than any is not read.
func TestEndlessFrame(t *testing.T) {
	envelope := binary.BigEndian.AppendUint32([]byte{0}, 1<<31)
	address := endlessEngine(t, "application/connect+proto", envelope)
	client := &engine.Client{
		HTTP: link.HTTPClient(),
	}
	frames, err := client.Infer(t.Context(), address, &pb.InferRequest{})
	require.NoError(t, err)
	defer frames.Close()
	_, ok := frames.Receive()
	require.False(t, ok)
	require.Error(t, frames.Err())
}

// TestEndlessReport: a report of an engine's load without end is not held.
func TestEndlessReport(t *testing.T) {
	address := endlessEngine(t, "application/proto", nil)
	client := &engine.Client{
		HTTP: link.HTTPClient(),
	}
	_, err := client.Load(t.Context(), address)
	require.Error(t, err)
}
