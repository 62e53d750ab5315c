package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
)

// viewOf returns a view of n instances and four services. Every tenth instance has a
// larger processor share than the others.
func viewOf(t *testing.T, n int) *view.View {
	t.Helper()
	f, err := parse.Rules("r", []byte("service a type=engine # t: t\nservice b type=plain # t: t\nservice c type=plain # t: t\nservice d type=engine # t: t\n"))
	require.NoError(t, err)
	var rows []*pb.Instance
	for i := range n {
		row := &pb.Instance{
			Name:     fmt.Sprintf("i%d", i),
			CpuMilli: 192,
		}
		if i%10 == 0 {
			row.CpuMilli = 512
		}
		rows = append(rows, row)
	}
	return (&view.View{}).WithTables(1, true, nil, rows).WithRules(1, nil, f)
}

// TestDeciderOrder checks that the instances with the largest processor share decide
// first, and that no instance is the first choice of two services while another one
// with the same share is free.
func TestDeciderOrder(t *testing.T) {
	for _, n := range []int{10, 40, 300} {
		order := deciderOrder(viewOf(t, n))
		require.Len(t, order, 4)
		first := make(map[string]int)
		for _, list := range order {
			require.Len(t, list, n)
			for i, instance := range list {
				large := i < n/10
				require.Equal(t, large, instance.GetCpuMilli() == 512)
			}
			first[list[0].GetName()]++
		}
		require.Len(t, first, min(n/10, 4))
	}
}

// TestDeciderOrderIsStable checks that the loss of an instance changes the first
// choice of the services for which it was the first, and at most of one more, whose
// first choice takes its place.
func TestDeciderOrderIsStable(t *testing.T) {
	v := viewOf(t, 40)
	before := deciderOrder(v)
	for _, lost := range v.Routers() {
		after := deciderOrder(v.WithTables(2, false, nil, []*pb.Instance{{
			Name: lost.GetName(),
			Gone: true,
		}}))
		wasFirst, changed := 0, 0
		for service, list := range before {
			if list[0].GetName() == lost.GetName() {
				wasFirst++
			}
			if after[service][0].GetName() != list[0].GetName() {
				changed++
			}
		}
		require.GreaterOrEqual(t, changed, wasFirst)
		require.LessOrEqual(t, changed, 2*wasFirst, lost.GetName())
	}
}

// TestLeaderDecidesLast checks that the leader of the control group decides only while
// no other instance is reachable.
func TestLeaderDecidesLast(t *testing.T) {
	order := deciderOrder(viewOf(t, 40))
	leader := order["a"][0].GetName()
	reachable := order["a"][1].GetName()
	p := &Placer{
		cfg: Config{
			Now:      func() time.Duration { return 0 },
			Instance: leader,
			Leader:   func() string { return leader },
		},
		order:   order,
		skipped: make(map[string]skip),
	}
	names := func() []string {
		var out []string
		for _, i := range p.deciders("a") {
			out = append(out, i.GetName())
		}
		return out
	}
	require.Equal(t, []string{order["a"][1].GetName(), order["a"][2].GetName()}, names())
	p.cfg.Unresponsive = func(name string) bool { return name != reachable }
	require.Equal(t, []string{reachable, leader}, names())
	reachable = ""
	require.Equal(t, []string{leader}, names())
}

// TestSharesFollowTheOrderOfDeciders: the leader of the control group is first in the order, so that
// its successor decides. It must use the share of the first in the order, or cold servers get
// half of what they take; and as soon as the leader is another one, without a new view, the
// share of the second, or the two together exceed the limit.
func TestSharesFollowTheOrderOfDeciders(t *testing.T) {
	const first, second = 14, 6
	f, err := parse.Rules("r", []byte("service a type=plain slots=64 cold-time=600s cold-rate=14 # t: t\n"))
	require.NoError(t, err)
	row := &pb.BackendServer{
		Name:      "e1",
		Service:   "a",
		Address:   "e1:1",
		ColdMs:    600_000,
		ColdIndex: 1,
	}
	v := viewOf(t, 4).WithTables(2, false, []*pb.BackendServer{row}, nil).WithRules(2, nil, f)
	order := deciderOrder(v)["a"]
	leader := order[0].GetName()
	now := time.Duration(0)
	cfg := Config{
		Now:         func() time.Duration { return now },
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		ColdOverage: 1.5,
		ColdSlack:   5,
		Instance:    order[1].GetName(),
		Leader:      func() string { return leader },
		Logger:      logrus.New(),
	}
	p := &Placer{
		cfg:        cfg,
		schedulers: newSchedulers(cfg),
		skipped:    make(map[string]skip),
	}
	p.schedulers.entitled = p.isEntitled
	granted := func() int {
		n := 0
		for range 2 * first {
			p.schedulers.submit("a", true, scheduler.Request{}, func(d scheduler.Decision) {
				if d.Server != "" {
					n++
				}
			})
		}
		return n
	}
	p.schedulers.tick()
	p.Update(v)
	now += 10 * time.Second
	require.Equal(t, first, granted())
	for _, c := range []struct {
		leader string
		want   int
	}{
		{order[2].GetName(), second},
		{order[0].GetName(), first},
		{"", second},
	} {
		leader = c.leader
		p.schedulers.tick()
		now += 10 * time.Second
		require.Equal(t, c.want, granted(), "leader %q", leader)
	}
}
