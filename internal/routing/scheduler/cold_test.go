package scheduler_test

// This file tests servers that have started recently, with a model of servers in virtual
// time.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

const (
	coldPeriod    = 3 * time.Second
	coldPerSecond = 14
	// coldStep is the step of virtual time, coldRunTime how long a request runs.
	coldStep    = 5 * time.Millisecond
	coldRunTime = 200 * time.Millisecond
)

// paced are the settings of an instance that decides for all.
var paced = scheduler.Service{
	ColdTime:      coldPeriod,
	ColdRate:      coldPerSecond,
	AloneColdRate: 0.1,
}

// runningRequest is a request on a server of the model.
type runningRequest struct {
	id     uint64
	server string
	ends   time.Duration
}

// coldService schedules requests to servers of a model.
type coldService struct {
	*scheduler.Scheduler

	t       *testing.T
	now     time.Duration
	servers []scheduler.Server
	lastID  uint64
	running []runningRequest
	// granted holds the times of the grants by server.
	granted map[string][]time.Duration
	// down holds the servers that refuse connections.
	down    map[string]bool
	refused []scheduler.Decision
	// maxWait is the longest time in the queue.
	maxWait time.Duration
}

// newColdService returns a service whose servers have been running for long.
func newColdService(t *testing.T, svc scheduler.Service, engine bool, servers int) *coldService {
	t.Helper()
	svc.Name, svc.Engine, svc.Slots, svc.LoadBound = "s", engine, 12, 2
	svc.RetryWindow = 10 * time.Second
	c := &coldService{
		Scheduler: scheduler.New(svc),
		t:         t,
		granted:   make(map[string][]time.Duration),
		down:      make(map[string]bool),
		maxWait:   time.Second,
	}
	for i := range servers {
		c.servers = append(c.servers, scheduler.Server{
			Name:      fmt.Sprintf("e%d", i),
			Accepting: true,
			JoinedMs:  1,
		})
	}
	c.list(c.servers)
	c.now = 10 * time.Second
	return c
}

func (c *coldService) list(servers []scheduler.Server) {
	c.SetServers(0, servers)
	c.UpdateCold(c.now)
}

// restart gives the first n servers new incarnations.
func (c *coldService) restart(n int) {
	for i := range n {
		c.servers[i].JoinedMs++
	}
	c.list(c.servers)
}

// handle lets the model run a granted request.
func (c *coldService) handle(decisions ...scheduler.Decision) {
	for _, d := range decisions {
		if d.Server == "" {
			c.refused = append(c.refused, d)
			continue
		}
		c.granted[d.Server] = append(c.granted[d.Server], c.now)
		c.running = append(c.running, runningRequest{
			id:     d.ID,
			server: d.Server,
			ends:   c.now + coldRunTime,
		})
	}
}

// request schedules a request.
func (c *coldService) request(req scheduler.Request) (scheduler.Decision, bool) {
	c.lastID++
	req.ID, req.MaxWait = c.lastID, c.maxWait
	d, decided := c.Schedule(c.now, req)
	if decided {
		c.handle(d)
	}
	return d, decided
}

// run lets requests arrive for a time.
func (c *coldService) run(perSecond float64, span time.Duration) {
	due := 0.0
	for end := c.now + span; c.now < end; c.now += coldStep {
		c.endRequests()
		c.handle(c.Tick(c.now)...)
		for due += perSecond * coldStep.Seconds(); due >= 1; due-- {
			c.request(scheduler.Request{})
		}
	}
}

// endRequests reports the requests that have ended, those on servers that are down as failed.
func (c *coldService) endRequests() {
	var ended []runningRequest
	c.running = slices.DeleteFunc(c.running, func(r runningRequest) bool {
		over := c.down[r.server] || c.now >= r.ends
		if over {
			ended = append(ended, r)
		}
		return over
	})
	for _, r := range ended {
		event := scheduler.Done
		if c.down[r.server] {
			event = scheduler.Unreachable
		}
		c.handle(c.Report(c.now, r.id, scheduler.Report{
			Event: event,
		})...)
	}
}

// crash breaks the requests of a server, which refuses connections from now on.
func (c *coldService) crash(name string) {
	c.down[name] = true
	var broken []uint64
	c.running = slices.DeleteFunc(c.running, func(r runningRequest) bool {
		if r.server == name {
			broken = append(broken, r.id)
		}
		return r.server == name
	})
	for _, id := range broken {
		c.handle(c.Report(c.now, id, scheduler.Report{
			Event: scheduler.Down,
		})...)
	}
}

// mostInASecond returns the largest number of grants to a server in a second of the span
// after a time.
func (c *coldService) mostInASecond(name string, from time.Duration, span time.Duration) int {
	most, times := 0, c.granted[name]
	for i, at := range times {
		if at < from || at >= from+span {
			continue
		}
		n, _ := slices.BinarySearch(times[i:], min(at+time.Second, from+span))
		most = max(most, n)
	}
	return most
}

// grantsSince returns the number of grants to a server since a time.
func (c *coldService) grantsSince(name string, from time.Duration) int {
	i, _ := slices.BinarySearch(c.granted[name], from)
	return len(c.granted[name]) - i
}

// TestThirdOfTheServersComesBackCold: ten of thirty servers restart under steady load. As the
// emptiest servers they would get hundreds of requests a second, and crash. Each must stay
// within its rate and still get some requests, none is refused as the warm servers have room,
// and the load is even again afterwards.
func TestThirdOfTheServersComesBackCold(t *testing.T) {
	for _, engine := range []bool{false, true} {
		for _, unlimited := range []bool{false, true} {
			t.Run(fmt.Sprintf("engine=%t,unlimited=%t", engine, unlimited), func(t *testing.T) {
				svc := paced
				if unlimited {
					svc = scheduler.Service{}
				}
				c := newColdService(t, svc, engine, 30)
				c.list(c.servers[10:])
				c.run(1000, 5*time.Second)
				c.restart(10)
				from := c.now
				c.run(1000, coldPeriod)
				most := 0
				for _, sv := range c.servers[:10] {
					most = max(most, c.mostInASecond(sv.Name, from, coldPeriod))
					require.NotZero(t, c.grantsSince(sv.Name, from), "load must begin to rise while a server is cold")
				}
				if unlimited {
					require.Greater(t, most, 26, "the scenario must exceed the limit")
					return
				}
				require.LessOrEqual(t, most, coldPerSecond)
				c.run(1000, 2*time.Second)
				warm := c.now
				c.run(1000, 2*time.Second)
				for _, sv := range c.servers {
					require.InDelta(t, 2*1000/30, c.grantsSince(sv.Name, warm), 24, sv.Name)
				}
				c.run(0, time.Second)
				require.Zero(t, c.QueueLen())
				require.Empty(t, c.refused)
			})
		}
	}
}

// TestAllServersCold: all servers restart. Requests wait for the rate, and those that would
// wait too long are refused with a time that the rate allows. Each refusal that promised a
// place at once would bring the caller back for nothing.
func TestAllServersCold(t *testing.T) {
	c := newColdService(t, paced, true, 6)
	c.run(300, 2*time.Second)
	c.run(0, coldRunTime+coldStep)
	c.restart(6)
	from := c.now
	for range 300 {
		c.request(scheduler.Request{})
	}
	require.Greater(t, len(c.refused), 100, "the rates allow 84 requests at once and 76 in the next second")
	for _, d := range c.refused {
		require.Equal(t, scheduler.Overloaded, d.Refusal)
		require.Greater(t, d.RetryAfter, c.maxWait)
		require.LessOrEqual(t, d.RetryAfter, coldPeriod)
	}
	refused := len(c.refused)
	c.run(0, 1500*time.Millisecond)
	c.run(60, time.Second)
	require.Len(t, c.refused, refused, "the rates allow these")
	c.run(0, 3*time.Second)
	require.Zero(t, c.QueueLen())
	for _, sv := range c.servers {
		require.LessOrEqual(t, c.mostInASecond(sv.Name, from, coldPeriod), coldPerSecond)
	}
}

// TestServerThatCrashesIsPacedAgain: a cold server crashes, refuses connections for a while
// and answers again, which no list shows. It must be paced from its first answer on, as it
// has restarted, and gets its share when it is warm.
func TestServerThatCrashesIsPacedAgain(t *testing.T) {
	for _, servers := range []int{1, 9} {
		c := newColdService(t, paced, false, servers)
		perSecond := 40 * float64(servers)
		c.run(perSecond, 2*time.Second)
		c.restart(1)
		c.run(perSecond, time.Second)
		c.crash("e0")
		crashed := c.now
		c.run(perSecond, 4*time.Second)
		if servers > 1 {
			require.Less(t, c.grantsSince("e0", crashed), 20, "an ejected server gets probes only")
		}
		delete(c.down, "e0")
		from := c.now
		c.run(perSecond, coldPeriod)
		require.NotZero(t, c.grantsSince("e0", from))
		require.LessOrEqual(t, c.mostInASecond("e0", from, coldPeriod), coldPerSecond)
		c.run(perSecond, 5*time.Second)
		from = c.now
		c.run(perSecond, 2*time.Second)
		require.Greater(t, c.grantsSince("e0", from), 40)
	}
}

// TestWhatMakesAServerCold names each source of a cold period, and what is none: a server in
// the first list of an instance is not new, and an announcement that is listed again does
// not begin again.
func TestWhatMakesAServerCold(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *coldService)
		want   time.Duration
	}{
		{"first list", func(*coldService) {}, 0},
		{"same list", func(c *coldService) { c.list(c.servers) }, 0},
		{"time of joining", func(c *coldService) { c.restart(1) }, coldPeriod},
		{"address", func(c *coldService) { c.servers[0].Address = "10.0.0.9:80"; c.list(c.servers) }, coldPeriod},
		{"name", func(c *coldService) { c.servers[0].Name = "other"; c.list(c.servers) }, coldPeriod},
		{"gone and back", func(c *coldService) { c.list(c.servers[1:]); c.list(c.servers) }, coldPeriod},
		{"announced in the list", func(c *coldService) {
			c.servers[0].ColdIndex, c.servers[0].ColdFor = 7, time.Second
			c.list(c.servers)
		}, time.Second},
		{"end of the announcement", func(c *coldService) { c.servers[0].ColdIndex = 7; c.list(c.servers) }, 0},
		{"announced, listed again", func(c *coldService) {
			c.servers[0].ColdIndex, c.servers[0].ColdFor = 7, time.Second
			c.list(c.servers)
			c.now += time.Second
			c.list(c.servers)
		}, 0},
		{"evacuated", func(c *coldService) { c.servers[0].Evacuated = true; c.list(c.servers) }, 0},
		{"no longer evacuated", func(c *coldService) {
			c.servers[0].Evacuated = true
			c.list(c.servers)
			c.servers[0].Evacuated = false
			c.list(c.servers)
		}, coldPeriod},
		{"announced in a response", func(c *coldService) {
			c.request(scheduler.Request{})
			c.Report(c.now, c.lastID, scheduler.Report{
				Event:   scheduler.Done,
				ColdFor: 1500 * time.Millisecond,
			})
		}, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newColdService(t, paced, false, 2)
			c.change(s)
			changes := s.UpdateCold(s.now)
			if c.want == 0 {
				require.Zero(t, s.ColdServers(s.now))
				return
			}
			require.LessOrEqual(t, len(changes), 1)
			require.Equal(t, 1, s.ColdServers(s.now+c.want-1))
			require.Empty(t, s.UpdateCold(s.now+c.want-1))
			require.Zero(t, s.ColdServers(s.now+c.want))
			require.Len(t, s.UpdateCold(s.now+c.want), 1, "the end of the period is reported once")
			require.Empty(t, s.UpdateCold(s.now+c.want))
		})
	}
}

// TestServerThatAnswersOthersHasNotRestarted: an instance cannot reach a server that answers
// others. Taken for restarted, a server would be slowed down by one bad link.
func TestServerThatAnswersOthersHasNotRestarted(t *testing.T) {
	c := newColdService(t, paced, false, 1)
	c.request(scheduler.Request{})
	answering := c.lastID
	c.Report(c.now, answering, scheduler.Report{
		Event: scheduler.Started,
	})
	c.request(scheduler.Request{})
	c.Report(c.now, c.lastID, scheduler.Report{
		Event: scheduler.Unreachable,
	})
	c.now += time.Second
	c.request(scheduler.Request{})
	reportDone(c.Scheduler, c.now, c.lastID)
	require.Zero(t, c.ColdServers(c.now))
}

// TestRequestsDecidedAlone: an instance whose share is below one request a second sends a cold
// server nothing. Its queued request must not keep others from the places that they have.
func TestRequestsDecidedAlone(t *testing.T) {
	c := newColdService(t, paced, true, 2)
	c.maxWait = 10 * time.Second
	c.restart(2)
	_, decided := c.request(scheduler.Request{
		Alone: true,
	})
	require.False(t, decided)
	c.request(scheduler.Request{})
	c.handle(c.Tick(c.now)...)
	require.Len(t, c.granted, 1)
	require.Equal(t, 1, c.QueueLen())
	c.run(0, coldPeriod+coldStep)
	require.Zero(t, c.QueueLen(), "the servers are warm")
}

// TestLargeServiceFindsPlacesThatTheRateFrees: a large service remembers for some milliseconds
// that no server has room. That must not hide the places of cold servers, which come with
// time and not with the end of a request.
func TestLargeServiceFindsPlacesThatTheRateFrees(t *testing.T) {
	svc := paced
	svc.ColdRate = 1
	c := newColdService(t, svc, true, 300)
	c.restart(300)
	began := c.now
	for range 300 {
		_, decided := c.request(scheduler.Request{})
		require.True(t, decided)
	}
	freed := began + 1100*time.Millisecond
	c.now = freed - time.Millisecond
	_, decided := c.request(scheduler.Request{})
	require.False(t, decided)
	require.Empty(t, c.Tick(c.now))
	require.Len(t, c.Tick(freed), 1)
}

// TestCachedPrefixGoesFirstToAColdServer: an engine is back from an evacuation with the prefix of
// a chat. The few requests that it may get must not be spent on prompts that it has to read.
func TestCachedPrefixGoesFirstToAColdServer(t *testing.T) {
	svc := paced
	svc.ColdRate, svc.CacheTokens = 1, 100_000
	c := newColdService(t, svc, true, 1)
	c.maxWait = 10 * time.Second
	c.request(scheduler.Request{
		Parts: prompt(100, 1000),
	})
	c.run(0, time.Second)
	for _, evacuated := range []bool{true, false} {
		c.servers[0].Evacuated = evacuated
		c.list(c.servers)
	}
	c.now += time.Second
	_, decided := c.request(scheduler.Request{})
	require.True(t, decided)
	for _, subject := range []uint64{200, 100} {
		_, decided := c.request(scheduler.Request{
			Parts: prompt(subject, 1000+subject),
		})
		require.False(t, decided)
	}
	decisions := c.Tick(c.now + 1100*time.Millisecond)
	require.Len(t, decisions, 1)
	require.Equal(t, c.lastID, decisions[0].ID)
	require.Equal(t, 8500, decisions[0].CachedTokens)
}
