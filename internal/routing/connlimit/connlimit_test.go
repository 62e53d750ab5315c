package connlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/connlimit"
)

// TestOrderOfVictims guards against a crowd that drives out clients with requests: the
// connection that loses least is closed first, and none with a request running.
func TestOrderOfVictims(t *testing.T) {
	b := connlimit.Budget{
		Connections: 6,
	}
	phases := []connlimit.Phase{connlimit.Running, connlimit.Body, connlimit.Head, connlimit.Idle, connlimit.Idle, connlimit.Fresh}
	accounts := make([]*connlimit.Conn, len(phases))
	for i := range phases {
		accounts[i], _ = b.Add(0, "a")
	}
	for i, p := range phases {
		b.Enter(time.Duration(i)*time.Second, accounts[i], p)
	}
	now := 6 * time.Second
	for _, want := range []int{5, 3, 4, 2, 1} {
		c, victim := b.Add(now, "a")
		require.Same(t, accounts[want], victim)
		b.Enter(now, c, connlimit.Running)
	}
	c, victim := b.Add(now, "a")
	require.Nil(t, c)
	require.Nil(t, victim)
	require.Equal(t, 6, b.Open())
}

// TestLongIdleGoesBeforeNew: a connection that clients don't reuse any more is closed before
// one whose first head is on its way.
func TestLongIdleGoesBeforeNew(t *testing.T) {
	b := connlimit.Budget{
		Connections: 2,
	}
	old, _ := b.Add(0, "a")
	b.Enter(0, old, connlimit.Idle)
	b.Add(connlimit.ReuseWindow, "a")
	_, victim := b.Add(connlimit.ReuseWindow+1, "a")
	require.Same(t, old, victim)
}

// TestNewConnectionsAreNotClosedAtOnce guards against a flood of connections that drives out
// clients before their requests are read.
func TestNewConnectionsAreNotClosedAtOnce(t *testing.T) {
	b := connlimit.Budget{
		Connections: 2,
	}
	b.Add(0, "a")
	require.Zero(t, b.Delay(0), "there is room")
	second, _ := b.Add(time.Millisecond, "a")
	require.Equal(t, connlimit.GraceTime-2*time.Millisecond, b.Delay(2*time.Millisecond))
	require.Zero(t, b.Delay(connlimit.GraceTime))
	b.Enter(2*time.Millisecond, second, connlimit.Running)
	b.Remove(second)
	require.Zero(t, b.Delay(2*time.Millisecond))
}

// TestAddressKeepsItsShare guards against one address that takes all connections, also by
// ones that have served requests, and drives out the new ones of the others.
func TestAddressKeepsItsShare(t *testing.T) {
	b := connlimit.Budget{
		Connections: 10,
	}
	for range 9 {
		c, _ := b.Add(0, "crowd")
		b.Enter(0, c, connlimit.Idle)
	}
	for n := range 5 {
		_, victim := b.Add(time.Second, "other")
		if n > 0 {
			require.Equal(t, "crowd", victim.Address)
		}
	}
	_, victim := b.Add(time.Second, "other")
	require.Equal(t, "other", victim.Address, "above its share itself")
}

// TestStalledHeadsMakeRoom guards against costly heads that stop and hold the memory that
// others wait for. Memory counts until its reader has ended.
func TestStalledHeadsMakeRoom(t *testing.T) {
	const costly = 2 * connlimit.SmallBytes
	b := connlimit.Budget{
		HeldBytes: costly,
	}
	stalled, _ := b.Add(0, "a")
	_, v := b.Hold(0, stalled, 10*costly)
	require.Equal(t, connlimit.Granted, v, "alone it may hold more")
	c, _ := b.Add(0, "a")
	_, v = b.Hold(0, c, connlimit.SmallBytes)
	require.Equal(t, connlimit.Granted, v, "a small head never waits")
	victims, v := b.Hold(connlimit.StallTime/2, c, connlimit.SmallBytes)
	require.Empty(t, victims, "it has made progress")
	require.Equal(t, connlimit.Wait, v)
	victims, v = b.Hold(connlimit.StallTime, c, connlimit.SmallBytes)
	require.Equal(t, []*connlimit.Conn{stalled}, victims)
	require.Equal(t, connlimit.Wait, v, "the memory is not free yet")
	_, v = b.Hold(connlimit.StallTime, stalled, 1)
	require.Equal(t, connlimit.Closed, v)
	b.Remove(stalled)
	b.Remove(stalled)
	_, v = b.Hold(connlimit.StallTime, c, connlimit.SmallBytes)
	require.Equal(t, connlimit.Granted, v)
}

// TestMachineBudget checks after random events that no limit is broken and nothing is
// counted twice or lost.
func TestMachineBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := connlimit.Budget{
			Connections: rapid.IntRange(1, 8).Draw(t, "connections"),
			HeldBytes:   100_000,
		}
		now := time.Duration(0)
		open := make(map[*connlimit.Conn]int)
		closing := make(map[*connlimit.Conn]int)
		giveUp := func(c *connlimit.Conn) {
			require.NotEqual(t, connlimit.Running, c.Phase())
			require.Contains(t, open, c)
			closing[c] = open[c]
			delete(open, c)
		}
		var added []*connlimit.Conn
		draw := func(of map[*connlimit.Conn]int) *connlimit.Conn {
			var in []*connlimit.Conn
			for _, c := range added {
				if _, ok := of[c]; ok {
					in = append(in, c)
				}
			}
			return in[rapid.IntRange(0, len(in)-1).Draw(t, "index")]
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 4 || len(open) == 0:
				c, victim := b.Add(now, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "address")))
				if victim != nil {
					giveUp(victim)
				}
				if c != nil {
					open[c] = 0
					added = append(added, c)
				}
			case step < 7:
				c := draw(open)
				bytes := rapid.IntRange(0, 60_000).Draw(t, "bytes")
				victims, v := b.Hold(now, c, bytes)
				for _, victim := range victims {
					require.NotSame(t, c, victim)
					giveUp(victim)
				}
				if v == connlimit.Granted {
					open[c] += bytes
				}
			case step < 9:
				c := draw(open)
				p := connlimit.Phase(rapid.IntRange(int(connlimit.Idle), int(connlimit.Running)).Draw(t, "phase"))
				b.Enter(now, c, p)
				if p == connlimit.Idle {
					open[c] = 0
				}
			case len(closing) > 0:
				c := draw(closing)
				b.Remove(c)
				delete(closing, c)
			}
			require.Equal(t, len(open), b.Open())
			require.LessOrEqual(t, b.Open(), b.Connections)
			requireHeld(t, open, closing, b.HeldBytes)
		}
		for _, of := range []map[*connlimit.Conn]int{open, closing} {
			for c := range of {
				b.Remove(c)
			}
		}
		require.Zero(t, b.Open())
		last, _ := b.Add(now, "a")
		_, v := b.Hold(now, last, 10*b.HeldBytes)
		require.Equal(t, connlimit.Granted, v, "nothing is held any more")
	})
}

// requireHeld requires that what costly connections hold is within the limit, unless it is
// one alone.
func requireHeld(t *rapid.T, open, closing map[*connlimit.Conn]int, limit int) {
	total, costly := 0, 0
	for _, of := range []map[*connlimit.Conn]int{open, closing} {
		for _, held := range of {
			if held > connlimit.SmallBytes {
				total += held
				costly++
			}
		}
	}
	if costly > 1 {
		require.LessOrEqual(t, total, limit)
	}
}
