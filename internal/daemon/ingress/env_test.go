package ingress_test

// This file defines an instance with backend servers on loopback, for the tests of this
// package.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
	"camphorspoke/internal/daemon/ingress"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/daemon/responsememory"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/durations"
	"camphorspoke/internal/routing/serverlimit"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
	"camphorspoke/internal/rules/ruleset"
)

// bodyBudget is the memory for bodies, in bytes.
const bodyBudget = 64 << 20

// responseBudget is the memory for unfinished responses, in bytes.
const responseBudget = 8 << 20

// testDialect is a minimal dialect with one header per field.
type testDialect struct{}

var _ edge.Dialect = testDialect{}

func (testDialect) ParseRequest(r *http.Request) (edge.Request, error) {
	out := edge.Request{
		ID:          r.Header.Get("Id"),
		APIKey:      r.Header.Get("Key"),
		LastEventID: r.Header.Get("Last"),
		Resumes:     r.Header.Get("Resumes"),
	}
	if v := r.Header.Get("Wait"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return out, fault.Wrap(fault.BadRequest, "Wait", err)
		}
		out.Timeout = d
	}
	for id := range strings.FieldsSeq(r.Header.Get("Parts")) {
		n, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return out, fault.Wrap(fault.BadRequest, "Parts", err)
		}
		out.Prompt.Parts = append(out.Prompt.Parts, edge.Part{
			ID:     n,
			Tokens: 100,
		})
	}
	return out, nil
}

func (testDialect) SetForwardHeaders(h http.Header, f edge.Forwarding) {
	h.Del("Key")
	h.Set("Server", f.Server)
	h.Set("Account", f.Account)
	h.Set("Left", f.TimeLeft.String())
	h.Set("Last", f.LastEventID)
}

func (testDialect) SetPeerHeaders(h http.Header, p edge.PeerForwarding) {
	h.Set("Wait", p.TimeLeft.String())
	if p.LastEventID != "" {
		h.Set("Last", p.LastEventID)
	}
	if p.Resumes != "" {
		h.Set("Resumes", p.Resumes)
	}
}

func (testDialect) ParseResponse(status int, h http.Header) edge.ResponseInfo {
	info := edge.ResponseInfo{
		ID:          h.Get("Id"),
		Execution:   edge.Ran,
		OtherServer: h.Get("Other") != "",
		Signed:      h.Get("Signed") != "",
	}
	info.WorkPercent, _ = strconv.Atoi(h.Get("Work"))
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		info.Limit = serverlimit.Statement{
			Known:     true,
			Named:     true,
			PerSecond: perSecond,
		}
	}
	if h.Get("Odd") != "" {
		info.UnreadableHeaders = []string{"Odd"}
	}
	switch {
	case h.Get("Not-Run") != "":
		info.Execution = edge.NotRun
	case status == http.StatusServiceUnavailable || !info.Signed && status < http.StatusMultipleChoices:
		info.Execution = edge.InDoubt
	}
	return info
}

func (testDialect) ParseHealth(int, http.Header) edge.Health { return edge.Health{} }

func (testDialect) WriteError(w http.ResponseWriter, f *fault.Fault) {
	w.Header().Set("Kind", f.Kind)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry", f.RetryAfter.String())
	}
	status := http.StatusServiceUnavailable
	if fault.MayHaveRun(f) {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// fakeMembership stands in for the membership agent.
type fakeMembership struct {
	view atomic.Pointer[view.View]
	// stale is true while the rules are not confirmed to be in force.
	stale atomic.Bool
	// freshSoon is true when AwaitFresh should wait for the confirmation.
	freshSoon atomic.Bool
}

func (m *fakeMembership) AwaitFresh(ctx context.Context, _, limit time.Duration) bool {
	if !m.freshSoon.Load() {
		return m.Fresh()
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !m.Fresh() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return m.Fresh()
}

func (m *fakeMembership) View() *view.View { return m.view.Load() }
func (m *fakeMembership) Fresh() bool      { return !m.stale.Load() }

// testEnv is one instance with its backend servers and a caller.
type testEnv struct {
	t *testing.T
	// slots is the number of slots of each server.
	slots uint32
	// versions holds the versions of the servers' software; a server without one has none.
	versions []string
	// retryWindow, retryRatio and retrySlack are the retry budget; start sets them unless the
	// window is set.
	retryWindow time.Duration
	retryRatio  float64
	retrySlack  float64
	// instances are the listed instances. The instance under test is called i and decides
	// alone unless it is listed.
	instances  []*pb.Instance
	membership *fakeMembership
	handler    *ingress.Handler
	url        string
	mu         sync.Mutex
	// received holds, for each request that reached a server, the server's name.
	received []string
	client   *http.Client
	// requests counts the requests of do and doTo, which gives each an ID of its own.
	requests atomic.Int32
	// stopsAt is set while the instance is shutting down, which began leavingFor before.
	stopsAt    atomic.Pointer[time.Time]
	leavingFor atomic.Int64
}

// shutdownState returns the time left until stopsAt, and whether the instance is
// shutting down.
func (e *testEnv) shutdownState() (durations.Shutdown, bool) {
	if at := e.stopsAt.Load(); at != nil {
		return durations.Shutdown{
			Since: time.Duration(e.leavingFor.Load()),
			Left:  time.Until(*at),
		}, true
	}
	return durations.Shutdown{}, false
}

// responder writes one response to a raw connection. The request was read before.
type responder func(c net.Conn, r *http.Request)

const ruleText = `service s type=plain # t: t
account acme share=1 keys=%s # t: t
route open host=h prefix=/open/ kind=safe to=s timeout=2s public=yes # t: t
route read host=h prefix=/read/ kind=safe to=s timeout=2s attempts=2 # t: t
route book host=h prefix=/book/ kind=unsafe to=s timeout=2s attempts=1 # t: t
route chat host=h prefix=/chat/ kind=stream to=s timeout=2s attempts=2 resume=yes # t: t
route once host=h prefix=/once/ kind=stream to=s timeout=2s attempts=2 # t: t
route news host=h prefix=/news/ kind=stream to=s timeout=2s attempts=2 resume=yes public=yes # t: t
route fast host=h prefix=/fast/ kind=safe to=s timeout=200ms attempts=2 # t: t
`

func newTestEnv(t *testing.T, responders ...responder) *testEnv {
	t.Helper()
	return newTestEnvWithSlots(t, 4, responders...)
}

// newTestEnvWithSlots is like newTestEnv, with the number of slots of each server.
func newTestEnvWithSlots(t *testing.T, slots uint32, responders ...responder) *testEnv {
	t.Helper()
	e := &testEnv{
		t:     t,
		slots: slots,
	}
	var addresses []string
	for i, respond := range responders {
		addresses = append(addresses, e.backend(fmt.Sprintf("b%d", i), respond))
	}
	return e.start(ruleTextWithKey(), addresses)
}

// ruleTextWithKey returns ruleText with the digest of the key that do sends.
func ruleTextWithKey() string { return fmt.Sprintf(ruleText, ruleset.KeyDigest("secret")) }

// start serves an instance whose service has servers at the given addresses, called b0,
// b1 and so on.
func (e *testEnv) start(rules string, addresses []string) *testEnv {
	t := e.t
	e.membership = &fakeMembership{}
	e.client = &http.Client{
		Transport: &http.Transport{},
	}
	f, err := parse.Rules("rules", []byte(rules))
	require.NoError(t, err)
	var servers []*pb.BackendServer
	for i, address := range addresses {
		servers = append(servers, &pb.BackendServer{
			Name:    fmt.Sprintf("b%d", i),
			Service: "s",
			Slots:   e.slots,
			Address: address,
		})
		if i < len(e.versions) {
			servers[i].Version = e.versions[i]
		}
	}
	e.membership.view.Store((&view.View{}).WithTables(1, true, servers, e.instances).WithRules(1, []byte(rules), f))
	if e.retryWindow == 0 {
		e.retryWindow, e.retryRatio, e.retrySlack = 10*time.Second, 1, 20
	}
	clock := boottime.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, stop := placer.New(placer.Config{
		Now:         clock.Now,
		LoadBound:   2,
		RetryWindow: e.retryWindow,
		RetryRatio:  e.retryRatio,
		RetrySlack:  e.retrySlack,
		Instance:    "i",
		Logger:      log,
	})
	t.Cleanup(stop)
	p.Update(e.membership.View())
	pool := &backend.Pool{
		Now: clock.Now,
	}
	t.Cleanup(pool.Close)
	e.handler = &ingress.Handler{
		Membership:    e.membership,
		Dialect:       testDialect{},
		Placer:        p,
		Pool:          pool,
		Logger:        log,
		Now:           clock.Now,
		ShutdownState: e.shutdownState,
		Bodies: &bodymemory.Budget{
			Bytes: bodyBudget,
		},
		Responses: &responsememory.Budget{
			Bytes: responseBudget,
		},
	}
	s := httptest.NewServer(e.handler)
	t.Cleanup(s.Close)
	e.url = s.URL
	return e
}

// changeRules puts a text in the place of old in the rules in force.
func (e *testEnv) changeRules(old, changed string) {
	rules := strings.Replace(string(e.membership.View().RuleText), old, changed, 1)
	f, err := parse.Rules("rules", []byte(rules))
	if err != nil {
		e.t.Errorf("the changed rules are invalid: %v", err)
		return
	}
	e.membership.view.Store(e.membership.View().WithRules(2, []byte(rules), f))
}

func (e *testEnv) backend(name string, respond responder) string {
	return e.backendAt("127.0.0.1:0", name, respond)
}

// backendAt is like backend, at an address.
func (e *testEnv) backendAt(address, name string, respond responder) string {
	l, err := net.Listen("tcp", address)
	require.NoError(e.t, err)
	e.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					e.mu.Lock()
					e.received = append(e.received, name)
					e.mu.Unlock()
					respond(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func (e *testEnv) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

func (e *testEnv) do(path string, header ...string) (*http.Response, string, error) {
	e.t.Helper()
	var body strings.Builder
	resp, err := e.doTo(&body, path, header...)
	return resp, body.String(), err
}

// doTo is like do, and copies the body to w.
func (e *testEnv) doTo(w io.Writer, path string, header ...string) (*http.Response, error) {
	e.t.Helper()
	r, err := http.NewRequestWithContext(e.t.Context(), http.MethodPost, e.url+path, strings.NewReader("body"))
	require.NoError(e.t, err)
	r.Host = "h"
	// A connection to a server carries each ID once. The first request is x1.
	r.Header.Set("Id", fmt.Sprintf("x%d", e.requests.Add(1)))
	r.Header.Set("Key", "secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(w, resp.Body)
	return resp, err
}

func (e *testEnv) status(path string, header ...string) int {
	e.t.Helper()
	resp, _, err := e.do(path, header...)
	require.NoError(e.t, err)
	return resp.StatusCode
}

func respondOK(c net.Conn, r *http.Request) {
	body := "for " + r.Header.Get("Account") + r.Header.Get("Key")
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
}

func respondServerError(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 500 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nf", r.Header.Get("Id"))
}

func respondNotRun(c net.Conn, _ *http.Request) {
	io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

func respondUnproved(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nContent-Length: 4\r\n\r\nbusy", r.Header.Get("Id"))
}

func closeConnection(c net.Conn, _ *http.Request) { c.Close() }

func neverRespond(c net.Conn, _ *http.Request) { c.Read(make([]byte, 1)) }

func respondUnsigned(c net.Conn, _ *http.Request) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
}
