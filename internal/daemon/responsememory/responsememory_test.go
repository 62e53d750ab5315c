package responsememory_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/responsememory"
)

const (
	budgetBytes = 1 << 20
	// freeBytes is what a response may hold without a reservation.
	freeBytes = 16 << 10
)

// TestOneServerLeavesMemoryForOthers: the responses of one server get half of the memory, and
// those of another one find room beside them.
func TestOneServerLeavesMemoryForOthers(t *testing.T) {
	b := &responsememory.Budget{
		Bytes: budgetBytes,
	}
	faulty := b.Open("faulty")
	require.NoError(t, faulty(budgetBytes/2+freeBytes))
	require.Equal(t, fault.WrongFrame, fault.KindOf(b.Open("faulty")(freeBytes+1)))
	sound := b.Open("sound")
	require.NoError(t, sound(budgetBytes/2))
	require.Equal(t, fault.Overloaded, fault.KindOf(b.Open("third")(budgetBytes/4)), "no server is blamed for what others hold")
	require.NoError(t, b.Open("third")(freeBytes), "small responses need no reservation")
	require.NoError(t, faulty(0))
	require.NoError(t, b.Open("third")(budgetBytes/4))
}

// TestNoBudgetHasNoLimit checks the zero value and nil.
func TestNoBudgetHasNoLimit(t *testing.T) {
	var none *responsememory.Budget
	require.NoError(t, none.Open("s")(1<<40))
	require.NoError(t, (&responsememory.Budget{}).Open("s")(1<<40))
}

// TestMachineReservations resizes and ends random responses. The reserved bytes never exceed
// the budget or a server's half of it, a refusal has a reason, and nothing is left at the end.
func TestMachineReservations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &responsememory.Budget{
			Bytes: budgetBytes,
		}
		type response struct {
			server string
			hold   func(int) error
			bytes  int
		}
		var open []*response
		reserved := func(server string) int {
			n := 0
			for _, r := range open {
				if server == "" || r.server == server {
					n += max(0, r.bytes-freeBytes)
				}
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(rt, "begin") {
				server := fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "server"))
				open = append(open, &response{
					server: server,
					hold:   b.Open(server),
				})
			}
			r := open[rapid.IntRange(0, len(open)-1).Draw(rt, "response")]
			wanted := rapid.IntRange(0, budgetBytes/2).Draw(rt, "bytes")
			grows := max(0, wanted-freeBytes) - max(0, r.bytes-freeBytes)
			err := r.hold(wanted)
			overShare := reserved(r.server)+grows > budgetBytes/2
			overAll := reserved("")+grows > budgetBytes
			if grows <= 0 || !overShare && !overAll {
				require.NoError(rt, err)
				r.bytes = wanted
			} else {
				require.Equal(rt, overShare, fault.KindOf(err) == fault.WrongFrame)
			}
		}
		for _, r := range open {
			require.NoError(rt, r.hold(0))
		}
		require.NoError(rt, b.Open("0")(budgetBytes/2+freeBytes))
		require.NoError(rt, b.Open("1")(budgetBytes/2+freeBytes))
	})
}
