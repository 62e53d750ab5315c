package command_test

// This file tests explain -would against a daemon that gives a fixed explanation.

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/client/command"
	"camphorspoke/internal/daemon/ingress"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge/operator"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/routing/scheduler"
)

// TestExplainWould: the flags reach the daemon as a request, and its explanation is printed as
// text and as JSON. Wrong flags are refused before anything is sent.
func TestExplainWould(t *testing.T) {
	var got []*pb.ExplainRequest
	_, h := camphorspokev1connect.NewOperatorServiceHandler(&operator.Handler{
		ExplainRequest: func(_ context.Context, r *pb.ExplainRequest) (any, error) {
			got = append(got, r)
			return &ingress.Explanation{
				Route:   "chat",
				Service: "llm",
				Account: "acme",
				Placement: &placer.Explanation{
					Decider: "i1",
					Explanation: scheduler.Explanation{
						Outcome: scheduler.WouldGrant,
						Server:  "e1",
						Candidates: []scheduler.Candidate{
							{Server: "e1", CachedTokens: 300, Slots: 8, LoadAgeMs: 20},
							{Server: "e2", Slots: 8, LoadAgeMs: -1, LeftOut: []string{scheduler.Ejected}},
						},
					},
				},
			}, nil
		},
	})
	s := httptest.NewServer(h)
	defer s.Close()
	run := func(args ...string) (string, error) {
		var out strings.Builder
		global := []string{"-addr", strings.TrimPrefix(s.URL, "http://")}
		if args[0] == "-o" {
			global, args = append(global, args[:2]...), args[2:]
		}
		err := command.Root(&out).ParseAndRun(t.Context(), append(append(global, "explain"), args...))
		return out.String(), err
	}
	flags := []string{"-would", "-host", "h", "-path", "/chat/x", "-account", "acme", "-parts", "1f:2500,2a:300", "-wait", "2s"}
	text, err := run(flags...)
	require.NoError(t, err)
	require.Contains(t, text, "would be granted by i1 at e1")
	require.Regexp(t, `e1 +- +300 +0 +8 +20ms`, text)
	require.Regexp(t, `e2 .* ejected`, text)
	require.Equal(t, []uint64{0x1f, 0x2a}, got[0].GetParts())
	require.Equal(t, []uint32{2500, 300}, got[0].GetPartTokens())
	require.EqualValues(t, 2000, got[0].GetTimeoutMs())
	require.Equal(t, "/chat/x", got[0].GetPath())

	text, err = run(append([]string{"-o", "json"}, flags...)...)
	require.NoError(t, err)
	var e ingress.Explanation
	require.NoError(t, json.Unmarshal([]byte(text), &e))
	require.Equal(t, "e1", e.Placement.Server)
	require.Len(t, got, 2)

	for _, wrong := range [][]string{
		{"-would", "-path", "/chat/x"},
		{"-would", "-host", "h", "-path", "chat"},
		{"-would", "-host", "h", "-path", "/", "-parts", "zz:1"},
		{"-would", "-host", "h", "-path", "/", "file"},
	} {
		_, err := run(wrong...)
		require.Equal(t, command.ExitUsage, command.ExitCode(err), "%v", wrong)
	}
	require.Len(t, got, 2)
}
