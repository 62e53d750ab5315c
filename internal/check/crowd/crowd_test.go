package crowd

// This file tests crowds of each kind.

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdSize is the number of connections that a crowd keeps open, reopened how often
	// each one that the daemon closes is opened again.
	crowdSize = 400
	reopened  = 2
	// reopenPause is the time before that.
	reopenPause = 500 * time.Millisecond
	// memoryMB is the memory limit of the daemon. Its limit of descriptors is below the size
	// of the crowd (fewDescriptors), or above it, so that the memory alone limits the crowd.
	memoryMB        = 48
	fewDescriptors  = 300
	manyDescriptors = 1000
	// samples is how often the descriptors are counted, every samplePause.
	samples     = 40
	samplePause = 100 * time.Millisecond
	// largeHead is a size above the configured limit of a head, in bytes.
	largeHead = 60 << 10
)

// manyFields returns n bytes of fields as short as possible; their names differ if distinct.
func manyFields(n int, distinct bool) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		name := "a"
		if distinct {
			name = fmt.Sprintf("%x", i)
		}
		b.WriteString(name + ":\r\n")
	}
	return b.String()
}

// start is the beginning of a head that the rules allow.
const start = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\nAuthorization: Token k1\r\n"

// repeat writes text until the connection fails or the bytes are written.
func repeat(c net.Conn, text string, bytes int) {
	for n := 0; n < bytes; n += len(text) {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// bodies counts the small bodies announced.
var bodies atomic.Int64

// kinds are the crowds: what each client sends on its connection before it waits.
var kinds = []struct {
	name   string
	offset int
	// descriptors is the daemon's limit of descriptors; zero stands for manyDescriptors.
	descriptors int
	send        func(c net.Conn)
}{
	{name: "only open", offset: frontPort, descriptors: fewDescriptors, send: func(net.Conn) {}},
	{name: "heads over the limit", offset: frontPort, send: func(c net.Conn) {
		fmt.Fprintf(c, "%sX: %s\r\nContent-Length: 0\r\n\r\n", start, strings.Repeat("x", largeHead))
	}},
	{name: "heads without end", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+"X: ")
		repeat(c, strings.Repeat("x", 4<<10), 1<<20)
	}},
	{name: "empty lines without end", offset: frontPort, send: func(c net.Conn) {
		repeat(c, strings.Repeat("\r\n", 2<<10), 1<<20)
	}},
	{name: "empty lines after a request", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+"Content-Length: 0\r\n\r\n")
		repeat(c, strings.Repeat("\r\n", 2<<10), 1<<20)
	}},
	{name: "unfinished heads", offset: frontPort, send: func(c net.Conn) {
		fmt.Fprintf(c, "%sX: %s", start, strings.Repeat("x", largeHead))
	}},
	{name: "many small fields", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+manyFields(largeHead, false))
	}},
	{name: "many names", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+manyFields(largeHead, true))
	}},
	{name: "many names within the limit", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+manyFields(15<<10, true))
	}},
	{name: "large bodies that never come", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+"Content-Length: 4194304\r\n\r\n")
	}},
	// The lengths differ, so that they leave no room that an ordinary request could use.
	{name: "small bodies that never come", offset: frontPort, send: func(c net.Conn) {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", start, 1000*(1+bodies.Add(1)%64))
	}},
	{name: "chunked bodies that stop", offset: frontPort, send: func(c net.Conn) {
		io.WriteString(c, start+"Transfer-Encoding: chunked\r\n\r\n1000\r\n"+strings.Repeat("x", 2<<10))
	}},
	{name: "idle after a request", offset: frontPort, descriptors: fewDescriptors, send: func(c net.Conn) {
		io.WriteString(c, start+"Content-Length: 0\r\n\r\n")
	}},
	{name: "pipelined rubbish", offset: frontPort, send: func(c net.Conn) {
		repeat(c, strings.Repeat("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 50), 256<<10)
		repeat(c, "rubbish\x00\xff\r\n", 4<<10)
	}},
	{name: "many names to the operator", offset: operatorPort, send: func(c net.Conn) {
		io.WriteString(c, "GET /api/configuration/read HTTP/1.1\r\nHost: h\r\n"+manyFields(largeHead, true))
	}},
	{name: "many names to the directory", offset: directoryPort, send: func(c net.Conn) {
		io.WriteString(c, "GET /api/resolve HTTP/1.1\r\nHost: h\r\n"+manyFields(largeHead, true))
	}},
	{name: "only open to the readiness check", offset: readyPort, descriptors: fewDescriptors, send: func(net.Conn) {}},
	{name: "configurations that never end", offset: operatorPort, send: func(c net.Conn) {
		io.WriteString(c, "POST /api/configuration/replace HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n")
		repeat(c, strings.Repeat(" ", 4<<10), 1<<20)
	}},
}

// TestCrowds guards against a daemon that runs out of memory or descriptors, or answers
// nobody any more, because of clients that don't keep to its limits.
func TestCrowds(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			descriptors := cmp.Or(k.descriptors, manyDescriptors)
			d := startDaemon(t, memoryMB, descriptors)
			atRest, openAtRest := d.peakBytes(), d.descriptors()
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for range crowdSize {
				crowd.Go(func() { d.attend(k.offset, k.send, stop) })
			}
			open := 0
			for range samples {
				open = max(open, d.descriptors())
				time.Sleep(samplePause)
			}
			t.Logf("peak %d MB, %d descriptors; before the crowd %d MB, %d descriptors", d.peakBytes()>>20, open, atRest>>20, openAtRest)
			d.requireServes()
			open = max(open, d.descriptors())
			close(stop)
			crowd.Wait()
			d.requireServes()
			t.Logf("in the end peak %d MB, %d descriptors", d.peakBytes()>>20, open)
			require.LessOrEqual(t, d.peakBytes(), memoryMB<<20, "resident memory")
			require.LessOrEqual(t, open, descriptors, "descriptors")
			exited, _ := d.process.Exited()
			require.False(t, exited)
		})
	}
}

// attend is one client of a crowd. It leaves when stop is closed.
func (d *daemon) attend(offset int, send func(net.Conn), stop <-chan struct{}) {
	for range 1 + reopened {
		c := d.dial(offset)
		if c == nil {
			return
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			send(c)
			_, _ = io.Copy(io.Discard, c)
		}()
		select {
		case <-done:
			c.Close()
		case <-stop:
			c.Close()
			<-done
			return
		}
		select {
		case <-time.After(reopenPause):
		case <-stop:
			return
		}
	}
}

// TestRequestsAtTheLimits guards against a limit that refuses a client within the documented
// ones: heads of 16,384 bytes with as many names as fit, bodies of 4 MiB, and several such
// requests in a row on one connection.
func TestRequestsAtTheLimits(t *testing.T) {
	const headLimit, bodyLimit = 16_384, 4 << 20
	d := startDaemon(t, memoryMB, fewDescriptors)
	c := d.dial(frontPort)
	require.NotNil(t, c)
	defer c.Close()
	answers := bufio.NewReader(c)
	head := start + fmt.Sprintf("Content-Length: %d\r\n", bodyLimit)
	fields := manyFields(headLimit-len(head)-16, true)
	head += fields + "\r\n"
	require.LessOrEqual(t, len(head), headLimit)
	require.Greater(t, len(head), headLimit-20)
	for range 3 {
		_, err := io.WriteString(c, head[:headLimit/2])
		require.NoError(t, err)
		time.Sleep(reopenPause)
		_, err = io.WriteString(c, head[headLimit/2:]+strings.Repeat("b", bodyLimit))
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, "%s", body)
	}
}
