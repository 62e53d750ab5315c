package fleet

// This file defines clients: one that controls how it reads, and crowds of ordinary ones.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a client's connection to a daemon.
type Conn struct {
	net.Conn
	r *bufio.Reader
	// Pace, if set, is called before each read from the socket.
	Pace func()
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	if c.Pace != nil {
		c.Pace()
	}
	return c.Conn.Read(b)
}

// Dial opens a connection whose receive buffer has the given size in bytes; zero is the system's
// own. Reads from the socket take at most chunk bytes.
func Dial(address string, receiveBuffer, chunk int) (*Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		d.Control = func(_, _ string, rc syscall.RawConn) error {
			var err error
			if cerr := rc.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}); cerr != nil {
				return cerr
			}
			return err
		}
	}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, max(chunk, 16))
	return c, nil
}

// Request is a request of a client.
type Request struct {
	Path, ID, Key string
	DeadlineMs    int64
	Body          string
	// Header holds further lines of the head, each with its end.
	Header string
}

// Do sends a request and reads the whole response.
func (c *Conn) Do(r Request) (status int, header http.Header, body []byte, err error) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n", r.Path, Host, r.ID, r.DeadlineMs, r.Key, r.Header, len(r.Body))
	if _, err := io.WriteString(c.Conn, head+r.Body); err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

// Kind is a kind of request that a crowd sends.
type Kind struct {
	Path     string
	Deadline time.Duration
	PerS     float64
	// Retries is how often a client tries again after a promise that the request has not run.
	Retries int
	// Header, if set, returns further lines of the head of a request.
	Header func() string
}

// Counts holds what became of the requests of one kind.
type Counts struct {
	Asked, Served atomic.Int64
}

// Share returns the share of the requests that were served.
func (c *Counts) Share() float64 { return float64(c.Served.Load()) / float64(max(c.Asked.Load(), 1)) }

// Try is the first try of a request.
type Try struct {
	Address string
	Sent    time.Time
	Served  bool
}

// Tries holds the first tries of all clients.
type Tries struct {
	mu  sync.Mutex
	all []Try
}

func (t *Tries) add(one Try) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, one)
}

// FirstTries returns the first tries that were sent within a span.
func (f *Fleet) FirstTries(from, until time.Time) []Try {
	f.tries.mu.Lock()
	defer f.tries.mu.Unlock()
	var out []Try
	for _, t := range f.tries.all {
		if t.Sent.After(from) && t.Sent.Before(until) {
			out = append(out, t)
		}
	}
	return out
}

var lastID atomic.Int64

// NewID returns a new id of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// Crowd sends requests of a kind at its rate until stop is closed, and counts them.
func (f *Fleet) Crowd(k Kind, counts *Counts, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(time.Duration(float64(time.Second) / k.PerS))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		wg.Go(func() {
			counts.Asked.Add(1)
			if f.ask(k) {
				counts.Served.Add(1)
			}
		})
	}
}

// ask sends one request, each attempt on a new connection to one of the addresses that the directory
// names, and reports whether it was served.
func (f *Fleet) ask(k Kind) bool {
	begun := time.Now()
	for n := range k.Retries + 1 {
		left := k.Deadline - time.Since(begun)
		if left < 10*time.Millisecond {
			return false
		}
		address, err := f.resolve()
		if err != nil {
			f.Logf("client %s: no address: %v", k.Path, err)
			return false
		}
		sent := time.Now()
		status, header, err := f.attempt(k, address, left)
		served := status == http.StatusOK && err == nil
		if n == 0 {
			f.tries.add(Try{Address: address, Sent: sent, Served: served})
		}
		if served {
			return true
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return false
		}
		after, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
		left = k.Deadline - time.Since(begun)
		time.Sleep(min(time.Duration(after*float64(time.Second)), left/3))
	}
	return false
}

func (f *Fleet) attempt(k Kind, address string, left time.Duration) (status int, header http.Header, err error) {
	id := NewID()
	more := ""
	if k.Header != nil {
		more = k.Header()
	}
	c, err := Dial(address, 0, 4096)
	if err != nil {
		f.Logf("client %s %s: no connection: %v", k.Path, id, err)
		return 0, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left))
	status, header, _, err = c.Do(Request{Path: k.Path, ID: id, Key: "key-one", DeadlineMs: left.Milliseconds(), Body: "{}", Header: more})
	f.Logf("client %s %s at %s: %d %v", k.Path, id, address, status, err)
	return status, header, err
}

// resolve asks up to three daemons for addresses, and picks one.
func (f *Fleet) resolve() (string, error) {
	err := fmt.Errorf("no answer")
	for range 3 {
		d := f.Daemons[rand.N(len(f.Daemons))]
		status, body, cerr := call(http.MethodGet, fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=r&zone=%s", d.IP, DirectoryPort, Host, d.Zone), nil, time.Second)
		if cerr != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if err = json.Unmarshal(body, &answer); err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses[rand.N(len(answer.Addresses))], nil
		}
	}
	return "", err
}
