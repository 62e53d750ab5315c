package fleet_test

// This file tests input from operators and callers: commands of the client,
// invalid requests and invalid settings.

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/fleet"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// TestClient checks the exit code and output of the operators' command-line
// client against a running fleet.
func TestClient(t *testing.T) {
	f := start(t, smallFleet())
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o640))
		return path
	}
	run := func(args ...string) (string, int) {
		cmd := exec.Command(filepath.Join(binDir, "camphor"), append([]string{"-addr", f.Daemons[3].Address}, args...)...)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return string(out), exit.ExitCode()
		}
		require.NoError(t, err)
		return string(out), 0
	}
	bad, good := write("bad", "account a share=1\n"), write("good", string(f.Topology.Rules("by the client")))
	other := write("other", string(f.Topology.Rules("by another")))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{args: []string{"check", bad}, code: 2, want: "bad:1:18: the rule has no comment"},
		{args: []string{"check", good}, code: 0, want: "ok"},
		{args: []string{"diff", good}, code: 0, want: "+ service assist-models"},
		{args: []string{"apply", good}, code: 2, want: "-base=-1: accepted"},
		{args: []string{"apply", "-base", "1", good}, code: 0, want: "version 2 accepted"},
		{args: []string{"apply", "-base", "1", good}, code: 0, want: "(accepted before)"},
		{args: []string{"apply", "-base", "1", other}, code: 3, want: "version in force: 2"},
		{args: []string{"-o", "json", "status"}, code: 0, want: "\"ruleVersion\": 2"},
		{args: []string{"drain", "nowhere"}, code: 2, want: "give a reason"},
		{args: []string{"drain", "-reason", "test", "nowhere"}, code: 1, want: "unknownBackendServer nowhere"},
		{args: []string{"-addr", "127.0.0.1:1", "show"}, code: 4, want: "refused"},
	} {
		out, code := run(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.want, "%v", c.args)
	}
}

// TestBadInput checks that each invalid request fails with its own failure kind
// and the outcome "not run", and that an invalid rule file changes no rules.
func TestBadInput(t *testing.T) {
	f := start(t, smallFleet())
	c := camphorspokev1connect.NewCallerServiceClient(http.DefaultClient, "http://"+f.Daemons[4].Address)
	for name, g := range map[string]struct {
		req  *pb.GenerateRequest
		kind fault.Kind
		code connect.Code
	}{
		"service": {req: &pb.GenerateRequest{Service: "none", ClientAccount: "skeena-0"}, kind: fault.UnknownService, code: connect.CodeNotFound},
		"account": {req: &pb.GenerateRequest{Service: "assist-models", ClientAccount: "none"}, kind: fault.UnknownAccount, code: connect.CodeNotFound},
		"chat":    {req: &pb.GenerateRequest{Service: "assist-models", ClientAccount: "skeena-0", Chat: "a b"}, kind: fault.BadChat, code: connect.CodeInvalidArgument},
		"body":    {req: &pb.GenerateRequest{Service: "assist-models", ClientAccount: "skeena-0", Chat: "a", RequestId: "q", MaxTokens: 1, Prompt: make([]byte, 2<<20)}, kind: fault.BodyTooLarge, code: connect.CodeResourceExhausted},
		"plain":   {req: &pb.GenerateRequest{Service: "dispatch-app", ClientAccount: "skeena-0"}, kind: fault.BadRequest, code: connect.CodeInvalidArgument},
	} {
		t.Run(name, func(t *testing.T) {
			st, err := c.Generate(context.Background(), connect.NewRequest(g.req))
			require.NoError(t, err)
			require.False(t, st.Receive())
			require.Equal(t, g.code, connect.CodeOf(st.Err()))
			d := fault.Detail(st.Err())
			require.Equal(t, g.kind, d.GetKind())
			require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, d.GetOutcome())
			require.NotEmpty(t, d.GetAdvice())
		})
	}
	_, err := f.ApplyRules(1, []byte("account a share=1\n"))
	require.Equal(t, fault.BadRules, fault.KindOf(err))
	require.Contains(t, fault.Detail(err).GetAdvice(), "rules:1:18:")
	s, err := fleet.ReadDump(f.Daemons[0].Address)
	require.NoError(t, err)
	require.EqualValues(t, 1, s.Member.RuleVersion)
}

// TestWrongSettings checks that a daemon with an invalid setting exits with code
// 2 and prints which values are accepted.
func TestWrongSettings(t *testing.T) {
	good := []string{"-instance", "e1", "-failure-domain", "a", "-listen", "127.0.0.1:7101", "-peer-listen", "127.0.0.1:7102",
		"-control", "e1=127.0.0.1:7103", "-platform", "http://127.0.0.1:7104"}
	for _, bad := range [][]string{
		{"-listen", "localhost"},
		{"-control", "a=127.0.0.1:1,b=127.0.0.1:2"},
		{"-data-dir", "/tmp/x"},
		{"-drain-limit", "1ms"},
		{"-log-level", "loud"},
		{"-platform", "ftp://x"},
	} {
		out, err := exec.Command(filepath.Join(binDir, "camphord"), append(append([]string(nil), good...), bad...)...).CombinedOutput()
		var exit *exec.ExitError
		require.True(t, errors.As(err, &exit), "%v: %v", bad, err)
		require.Equal(t, 2, exit.ExitCode(), "%v", bad)
		require.Contains(t, string(out), "accepted: ", "%v", bad)
	}
}
