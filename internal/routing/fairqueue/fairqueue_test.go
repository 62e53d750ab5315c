package fairqueue

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing"
)

func push(q *Queue, account string, share, class, n int) {
	for i := range n {
		q.Push(routing.Request{
			ID:      fmt.Sprintf("%s-%d-%d", account, class, i),
			Account: account,
			Share:   share,
			Class:   class,
			Cost:    10,
		})
	}
}

// popAndCount dequeues n requests and counts them by account.
func popAndCount(t *testing.T, q *Queue, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		r, ok := q.Pop()
		require.True(t, ok)
		out[r.Account]++
	}
	return out
}

func TestSharesHoldUnderASurge(t *testing.T) {
	var q Queue
	push(&q, "surging", 1, 1, 1000)
	push(&q, "small", 1, 1, 20)
	push(&q, "large", 3, 1, 60)
	got := popAndCount(t, &q, 100)
	require.Equal(t, map[string]int{"surging": 20, "small": 20, "large": 60}, got)
}

func TestIdleAccountGainsNoCredit(t *testing.T) {
	var q Queue
	push(&q, "busy", 1, 1, 100)
	popAndCount(t, &q, 50)
	push(&q, "returning", 1, 1, 100)
	got := popAndCount(t, &q, 40)
	require.InDelta(t, 20, got["returning"], 1)
}

func TestUrgentFirstAndBatchNotStarved(t *testing.T) {
	var q Queue
	push(&q, "a", 1, 2, 10)
	push(&q, "b", 1, 0, 100)
	first, _ := q.Pop()
	require.Equal(t, "b", first.Account)
	got := popAndCount(t, &q, 2*lowerClassInterval)
	require.Equal(t, 2, got["a"])
}

func TestRemove(t *testing.T) {
	var q Queue
	push(&q, "a", 1, 1, 2)
	require.True(t, q.Remove("a-1-0"))
	require.False(t, q.Remove("a-1-0"))
	r, ok := q.Pop()
	require.True(t, ok)
	require.Equal(t, "a-1-1", r.ID)
	_, ok = q.Pop()
	require.False(t, ok)
}
