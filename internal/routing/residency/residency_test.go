package residency

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func TestLRUAndEvents(t *testing.T) {
	table := &Table{
		Capacity: 100,
	}
	table.Touch("a", 40)
	table.Touch("b", 40)
	table.Touch("a", 50)
	table.Touch("c", 30)
	require.EqualValues(t, 50, table.Tokens("a"))
	require.Zero(t, table.Tokens("b"), "the least recently used chat must be evicted first")
	// Events arrive late: a stored prefix older than the model and a repeated
	// sequence number must change nothing.
	table.ApplyEvents([]*pb.CacheEvent{
		{Sequence: 1, Chat: "a", Tokens: 10},
		{Sequence: 2, Chat: "c", Evicted: true},
		{Sequence: 2, Chat: "a", Evicted: true},
		{Sequence: 4, Chat: "d", Tokens: 5},
	})
	require.EqualValues(t, 50, table.Tokens("a"))
	require.Zero(t, table.Tokens("c"))
	require.EqualValues(t, 5, table.Tokens("d"))
	require.EqualValues(t, 4, table.LastEvent())
	table.Clear()
	require.Zero(t, table.Len())
}

// BenchmarkTouch measures the memory used per chat.
func BenchmarkTouch(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := &Table{}
	for i := range b.N {
		table.Touch(fmt.Sprintf("chat-%016x", i), 3000)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/chat")
	require.Equal(b, b.N, table.Len())
}
