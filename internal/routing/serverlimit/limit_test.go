package serverlimit_test

// This file tests what becomes known of the limit of one server.

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/serverlimit"
)

func named(perSecond float64) serverlimit.Statement {
	return serverlimit.Statement{
		Known:     true,
		Named:     true,
		PerSecond: perSecond,
	}
}

func aged(st serverlimit.Statement, age time.Duration) serverlimit.Statement {
	st.Age = age
	return st
}

// unlimited is the statement of a server that names no limit.
var unlimited = serverlimit.Statement{
	Known: true,
}

// TestStatements names the order in which statements arrive and the limit that follows. A
// frozen instance hands on a response of long ago as new: were it taken as current, the
// server would get more than the limit that it has named since.
func TestStatements(t *testing.T) {
	const s = time.Second
	type observation struct {
		now, grantedAt time.Duration
		st             serverlimit.Statement
	}
	for _, c := range []struct {
		name         string
		observations []observation
		want         serverlimit.Statement
	}{
		{"nothing said", []observation{{s, s, serverlimit.Statement{}}}, serverlimit.Statement{}},
		{"named", []observation{{s, s, named(8)}}, named(8)},
		{"named, nothing said", []observation{{s, s, named(8)}, {2 * s, 2 * s, serverlimit.Statement{}}}, named(8)},
		{"raised", []observation{{s, s, named(8)}, {2 * s, 2 * s, named(9)}}, named(9)},
		{"ended", []observation{{s, s, named(8)}, {2 * s, 2 * s, unlimited}}, unlimited},
		{"older by its age", []observation{{10 * s, 10 * s, named(8)}, {11 * s, 11 * s, aged(named(9), 2*s)}}, named(8)},
		{"newer by its age", []observation{{10 * s, 10 * s, named(8)}, {12 * s, 12 * s, aged(named(9), s)}}, named(9)},
		{"late end", []observation{{10 * s, 10 * s, named(8)}, {12 * s, 9 * s, unlimited}}, named(8)},
		{"late raise", []observation{{10 * s, 10 * s, named(8)}, {12 * s, 9 * s, named(9)}}, named(8)},
		{"late, granted after", []observation{{10 * s, 10 * s, named(8)}, {14 * s, 11 * s, unlimited}}, unlimited},
		{"late name", []observation{{10 * s, 10 * s, unlimited}, {12 * s, 9 * s, named(9)}}, named(9)},
		{"no number", []observation{{s, s, named(8)}, {2 * s, 2 * s, named(math.NaN())}, {2 * s, 2 * s, named(-1)}, {2 * s, 2 * s, named(math.Inf(1))}}, named(8)},
		{"late and first", []observation{{12 * s, 9 * s, named(8)}}, named(8)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l serverlimit.Limit
			for _, o := range c.observations {
				l.Observe(o.now, o.grantedAt, o.st)
			}
			got := l.Statement(20 * s)
			require.Equal(t, c.want, aged(got, 0))
			if c.want.Known {
				require.Positive(t, got.Age)
			}
		})
	}
}
