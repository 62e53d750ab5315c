package command

// This file defines explain -would, which shows where a request would go now.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/ingress"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// wouldFlags describe a request.
type wouldFlags struct {
	host, path   string
	account, key string
	parts        string
	outputTokens uint
	wait         time.Duration
}

func (w *wouldFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&w.host, "host", "", "with -would: host of the request")
	fs.StringVar(&w.path, "path", "", "with -would: path of the request")
	fs.StringVar(&w.account, "account", "", "with -would: client account")
	fs.StringVar(&w.key, "key", "", "with -would: key of the client account, in place of its name")
	fs.StringVar(&w.parts, "parts", "", "with -would: parts of the prompt, ID:TOKENS,... as in the request, the IDs in hex")
	fs.UintVar(&w.outputTokens, "output-tokens", 0, "with -would: largest number of tokens to generate")
	fs.DurationVar(&w.wait, "wait", 0, "with -would: timeout of the caller; 0 is that of the route")
}

// request returns the request that the flags describe.
func (w *wouldFlags) request(id string) (*pb.ExplainRequest, error) {
	if w.host == "" || !strings.HasPrefix(w.path, "/") {
		return nil, usageError("-would needs -host, and -path beginning with '/'")
	}
	r := &pb.ExplainRequest{
		Id:           id,
		Host:         w.host,
		Path:         w.path,
		Account:      w.account,
		Key:          w.key,
		OutputTokens: uint32(w.outputTokens),
		TimeoutMs:    uint64(max(w.wait, 0).Milliseconds()),
	}
	if w.parts == "" {
		return r, nil
	}
	for part := range strings.SplitSeq(w.parts, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		n, err := strconv.ParseUint(id, 16, 64)
		t, err2 := strconv.ParseUint(tokens, 10, 31)
		if err != nil || err2 != nil {
			return nil, usageError(fmt.Sprintf("-parts: %q is not ID:TOKENS with the ID in hex", part))
		}
		r.Parts = append(r.Parts, n)
		r.PartTokens = append(r.PartTokens, uint32(t))
	}
	return r, nil
}

// explainWould prints what one daemon says would be decided on a request.
func (a *app) explainWould(ctx context.Context, id string, w wouldFlags, args []string) error {
	if len(args) > 0 {
		return usageError("-would takes no files")
	}
	r, err := w.request(id)
	if err != nil {
		return err
	}
	resp, err := a.client().Explain(ctx, connect.NewRequest(r))
	if err != nil {
		return err
	}
	var e ingress.Explanation
	if err := json.Unmarshal(resp.Msg.GetJson(), &e); err != nil {
		return fault.Wrap(fault.Internal, "explain", err)
	}
	if a.format == "table" {
		writeOutcome(a, e)
	}
	return a.print(e, "SERVER DOMAIN CACHED LOAD SLOTS LOADAGE FAILURES COST LEFTOUT", candidateRows(e))
}

// writeOutcome prints what the table of servers does not show.
func writeOutcome(a *app, e ingress.Explanation) {
	p := e.Placement
	fmt.Fprintf(a.out, "route %s, service %s, account %s, urgency %d, attempts %d, timeout %d ms, rules %d (fresh %t)\n",
		e.Route, e.Service, dash(e.Account), e.Urgency, e.Attempts, e.TimeoutMs, e.RuleVersion, e.RulesFresh)
	fmt.Fprintf(a.out, "would be %s by %s", p.Outcome, p.Decider)
	switch {
	case p.Server != "":
		fmt.Fprintf(a.out, " at %s", p.Server)
	case p.Refusal != "":
		fmt.Fprintf(a.out, ": %s, retry after %d ms", p.Refusal, p.RetryAfterMs)
	default:
		fmt.Fprintf(a.out, " for about %d ms, %d ms at most", p.ExpectedWaitMs, p.MaxWaitMs)
	}
	fmt.Fprintf(a.out, "; %d queued, load limit %.1f\n", p.Queued, p.LoadLimit)
}

// candidateRows returns one row per server.
func candidateRows(e ingress.Explanation) [][]string {
	var rows [][]string
	for _, c := range e.Placement.Candidates {
		age := "-"
		if c.LoadAgeMs >= 0 {
			age = strconv.FormatInt(c.LoadAgeMs, 10) + "ms"
		}
		rows = append(rows, []string{
			c.Server, dash(c.FailureDomain), strconv.Itoa(c.CachedTokens), strconv.Itoa(c.Load), strconv.Itoa(c.Slots), age,
			strconv.FormatFloat(c.FailureRate, 'f', 2, 64), strconv.FormatFloat(c.Cost, 'f', 2, 64), dash(strings.Join(c.LeftOut, ",")),
		})
	}
	return rows
}

// dash returns a text, or "-" for an empty one.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
