package tables_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/ledger"
	"camphorspoke/internal/control/tables"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// addServers applies an update with n new servers to the ledger.
func addServers(l *ledger.Ledger, index uint64, n int) {
	rng := rand.New(rand.NewPCG(index, 1))
	update := &pb.UpdateServers{}
	for i := range n {
		update.Servers = append(update.Servers, &pb.BackendServer{
			Name:    fmt.Sprintf("s%d-%d", index, i),
			Service: "svc",
			Address: fmt.Sprintf("10.%d.%d.%d:%d", rng.IntN(250), rng.IntN(250), rng.IntN(250), rng.IntN(60_000)),
		})
	}
	l.Apply(index, &pb.Command{
		Kind: &pb.Command_UpdateServers{
			UpdateServers: update,
		},
	})
}

func decode(t *testing.T, r *pb.TablesResponse) *pb.TableRows {
	t.Helper()
	b, err := compress.Codec{}.Decompress(r.GetRows())
	require.NoError(t, err)
	rows := &pb.TableRows{}
	require.NoError(t, proto.Unmarshal(b, rows))
	return rows
}

// TestRows checks that the whole tables and changes are served, that whole tables are
// encoded once for many routers, and that they are at most 200 ms old.
func TestRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := &ledger.Ledger{}
		s := &tables.Source{
			Ledger: l,
			Now:    func() time.Duration { return time.Since(start) },
		}
		addServers(l, 1, 100)
		whole, err := s.Read(t.Context(), &pb.TablesRequest{})
		require.NoError(t, err)
		require.True(t, decode(t, whole).GetWhole())
		require.Len(t, decode(t, whole).GetServers(), 100)
		addServers(l, 2, 3)
		again, err := s.Read(t.Context(), &pb.TablesRequest{})
		require.NoError(t, err)
		require.Same(t, &whole.GetRows()[0], &again.GetRows()[0])
		changes, err := s.Read(t.Context(), &pb.TablesRequest{SeenIndex: 1})
		require.NoError(t, err)
		require.EqualValues(t, 2, changes.GetIndex())
		require.False(t, decode(t, changes).GetWhole())
		require.Len(t, decode(t, changes).GetServers(), 3)
		time.Sleep(200 * time.Millisecond)
		later, err := s.Read(t.Context(), &pb.TablesRequest{})
		require.NoError(t, err)
		require.EqualValues(t, 2, later.GetIndex())
		require.Len(t, decode(t, later).GetServers(), 103)
	})
}

// TestRateLimit checks that rows take at most the allowed share of the link, and that a
// request whose caller does not wait that long fails.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := &ledger.Ledger{}
		s := &tables.Source{
			Ledger:   l,
			Now:      func() time.Duration { return time.Since(start) },
			LinkMbps: 10,
		}
		addServers(l, 1, 3000)
		sent := 0
		for range 40 {
			r, err := s.Read(t.Context(), &pb.TablesRequest{})
			require.NoError(t, err)
			sent += len(r.GetRows())
		}
		bitsPerSecond := float64(8*sent) / time.Since(start).Seconds()
		require.Less(t, bitsPerSecond, 10e6)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := s.Read(ctx, &pb.TablesRequest{})
		require.Equal(t, fault.NoQuorum, fault.KindOf(err))
	})
}
