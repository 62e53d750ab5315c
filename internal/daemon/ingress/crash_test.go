package ingress_test

// This file tests prompts that crash the server which answers them.

import (
	"bufio"
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

	"camphorspoke/internal/check/portrange"
)

const (
	// deadlyPart is the part of a prompt that crashes the server which answers it.
	deadlyPart = "dead"
	// crashDelay is how long after its response head such a server crashes, and downFor
	// how long it is down.
	crashDelay = 30 * time.Millisecond
	downFor    = 400 * time.Millisecond
	// stableWindow is the time after the fifth crash from which at most
	// deadlyAllowed requests with the part may reach servers.
	stableWindow  = 3 * time.Second
	deadlyAllowed = 3
)

const engineRules = `service s type=engine slots=8 cache-tokens=100000 # t: t
route chat host=h prefix=/chat/ kind=stream to=s timeout=2s attempts=2 resume=yes public=yes # t: t
`

// fragileServer is a server that crashes when it answers a prompt with the deadly part,
// and is back at its address after a while.
type fragileServer struct {
	t       *testing.T
	address string
	crashes *crashLog

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// crashLog records the crashes of all servers and the deadly requests that reached them.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
}

// newFragileServer starts a server at an address to which it can return: no outgoing
// connection may take its port while it is down.
func newFragileServer(t *testing.T, address string, crashes *crashLog) *fragileServer {
	t.Helper()
	s := &fragileServer{
		t:       t,
		address: address,
		crashes: crashes,
	}
	s.listen()
	t.Cleanup(func() { s.close() })
	return s
}

// listen opens the address and serves it.
func (s *fragileServer) listen() {
	l, err := net.Listen("tcp", s.address)
	require.NoError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.listener, s.conns = l.Addr().String(), l, make(map[net.Conn]bool)
	go s.accept(l)
}

func (s *fragileServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *fragileServer) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.Header.Get("Parts") == "" {
			if !s.runPlain(c, r) {
				return
			}
			continue
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		if strings.Contains(r.Header.Get("Parts"), deadlyPart) {
			s.crashes.recordReached()
			time.Sleep(crashDelay)
			s.crash()
			return
		}
		for i := 1; i <= 3; i++ {
			time.Sleep(10 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		io.WriteString(c, "0\r\n\r\n")
	}
}

// crash closes the server, unless it is closed, and starts it again later.
func (s *fragileServer) crash() {
	if !s.close() {
		return
	}
	s.crashes.mu.Lock()
	s.crashes.crashes = append(s.crashes.crashes, time.Now())
	s.crashes.mu.Unlock()
	time.AfterFunc(downFor, s.listen)
}

// close closes the server and reports whether it was up.
func (s *fragileServer) close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	s.listener = nil
	return true
}

// recordReached records that a deadly request has reached a server.
func (l *crashLog) recordReached() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = append(l.reached, time.Now())
}

// crash returns the time of the n-th crash; false if there were fewer.
func (l *crashLog) crash(n int) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < n {
		return time.Time{}, false
	}
	return l.crashes[n-1], true
}

// reachedSince returns the number of deadly requests that reached servers after a time.
func (l *crashLog) reachedSince(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.reached {
		if at.After(t) {
			n++
		}
	}
	return n
}

// TestPartThatCrashesServers: prompts with one part, in different prompts and beside sound
// ones that share the others, crash each server that answers them. A few seconds after
// the fifth crash hardly any must reach a server, and sound requests are served.
func TestPartThatCrashesServers(t *testing.T) {
	crashes := &crashLog{}
	var addresses []string
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	for i := range 6 {
		addresses = append(addresses, newFragileServer(t, ports.Address("127.0.0.1", i), crashes).address)
	}
	e := (&testEnv{t: t}).start(engineRules, addresses)
	var sound, served atomic.Int32
	var since atomic.Pointer[time.Time]
	request := func(id int, parts string) int {
		resp, _, err := e.do("/chat/x", "Id", fmt.Sprintf("r%d", id), "Parts", parts)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	var requests sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		requests.Go(func() {
			if i%5 == 0 {
				request(i, fmt.Sprintf("a1 %s b%x", deadlyPart, i))
				return
			}
			counted := since.Load() != nil
			status := request(i, fmt.Sprintf("a1 c%x d%x", i%7, i))
			if counted {
				sound.Add(1)
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
		time.Sleep(10 * time.Millisecond)
		if fifth, ok := crashes.crash(5); ok && time.Since(fifth) > stableWindow && since.Load() == nil {
			now := time.Now()
			since.Store(&now)
			end = now.Add(1500 * time.Millisecond)
		}
	}
	requests.Wait()
	fifth, ok := crashes.crash(5)
	if !ok {
		return
	}
	require.LessOrEqual(t, crashes.reachedSince(fifth.Add(stableWindow)), deadlyAllowed)
	require.GreaterOrEqual(t, float64(served.Load()), 0.9*float64(sound.Load()))
}
