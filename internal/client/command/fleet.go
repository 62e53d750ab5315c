package command

// This file defines the subcommands that show the state of the fleet and change
// drains, engine orders, claims and control replicas.

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strconv"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// status holds the fields of a daemon's dump that the status subcommand prints.
type status struct {
	Member struct {
		Instance    string `json:"instance"`
		RuleVersion uint64 `json:"ruleVersion"`
		RulesFresh  bool   `json:"rulesFresh"`
		LeaseLeftMs int64  `json:"leaseLeftMs"`
	} `json:"member"`
	BackendServers []struct {
		Name          string `json:"name"`
		Service       string `json:"service"`
		FailureDomain string `json:"failureDomain"`
		Owner         string `json:"owner"`
		Leaving       bool   `json:"leaving"`
		Drained       bool   `json:"drained"`
		Evacuated     bool   `json:"evacuated"`
		Gone          bool   `json:"gone"`
	} `json:"backendServers"`
	Evacuations []evacuationRow `json:"evacuations"`
	Instances   []struct {
		Name          string `json:"name"`
		CallerAddress string `json:"callerAddress"`
		FailureDomain string `json:"failureDomain"`
		Leaving       bool   `json:"leaving"`
		Isolated      bool   `json:"isolated"`
		Gone          bool   `json:"gone"`
	} `json:"instances"`
}

func stateName(leaving, drained, evacuated, gone bool) string {
	switch {
	case gone:
		return "gone"
	case leaving:
		return "leaving"
	case drained:
		return "drained"
	case evacuated:
		return "evacuated"
	}
	return "open"
}

// instanceState returns the state of an instance; an isolated one reaches no backend server.
func instanceState(leaving, isolated, gone bool) string {
	if isolated && !leaving && !gone {
		return "isolated"
	}
	return stateName(leaving, false, false, gone)
}

func (a *app) fetchDump(ctx context.Context) ([]byte, error) {
	r, err := a.client().Dump(ctx, connect.NewRequest(&pb.DumpRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetJson(), nil
}

func (a *app) dump() *ffcli.Command {
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: "camphor dump [ADDR]",
		ShortHelp:  "print the state of one daemon as JSON",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return usageError("expected at most one address")
			}
			if len(args) == 1 {
				a.address = args[0]
			}
			b, err := a.fetchDump(ctx)
			if err != nil {
				return err
			}
			_, err = a.out.Write(append(b, '\n'))
			return err
		},
	}
}

func (a *app) status() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "camphor status",
		ShortHelp:  "list the instances and backend servers in the view of one daemon",
		Exec: func(ctx context.Context, _ []string) error {
			b, err := a.fetchDump(ctx)
			if err != nil {
				return err
			}
			var s status
			if err := json.Unmarshal(b, &s); err != nil {
				return fault.Wrap(fault.Internal, "dump", err)
			}
			rows := [][]string{{"instance", s.Member.Instance, "", "rules " + strconv.FormatUint(s.Member.RuleVersion, 10),
				"fresh " + strconv.FormatBool(s.Member.RulesFresh), "lease " + strconv.FormatInt(s.Member.LeaseLeftMs, 10) + "ms"}}
			for _, i := range s.Instances {
				rows = append(rows, []string{"router", i.Name, i.FailureDomain, i.CallerAddress, "", instanceState(i.Leaving, i.Isolated, i.Gone)})
			}
			for _, v := range s.BackendServers {
				rows = append(rows, []string{"server", v.Name, v.FailureDomain, v.Service, "owner " + v.Owner, stateName(v.Leaving, v.Drained, v.Evacuated, v.Gone)})
			}
			for _, e := range s.Evacuations {
				rows = append(rows, e.cells())
			}
			slices.SortStableFunc(rows[1:], func(x, y []string) int { return cmp.Or(cmp.Compare(x[0], y[0]), cmp.Compare(x[1], y[1])) })
			return a.print(s, "WHAT NAME DOMAIN WHERE DETAIL STATE", rows)
		},
	}
}

func (a *app) drainCommand(name, help string, drain bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	reason := fs.String("reason", "", "reason for the change; it is recorded")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "camphor " + name + " -reason WHY BACKEND-SERVER",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			server, err := onlyArgument(args, "backend server")
			if err != nil {
				return err
			}
			if _, err := a.client().Drain(ctx, connect.NewRequest(&pb.DrainRequest{
				BackendServer: server,
				Drain:         drain,
				Reason:        *reason,
			})); err != nil {
				return err
			}
			return a.print(map[string]any{"backendServer": server, "drained": drain}, "", [][]string{{server, name + "ed"}})
		},
	}
}

func (a *app) drain() *ffcli.Command {
	return a.drainCommand("drain", "send no new work to a backend server and move its caches", true)
}

func (a *app) undrain() *ffcli.Command {
	return a.drainCommand("undrain", "end the drain of a backend server", false)
}

func (a *app) order() *ffcli.Command {
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	reason := fs.String("reason", "", "reason for the change; it is recorded")
	return &ffcli.Command{
		Name:       "order",
		ShortUsage: "camphor order -reason WHY BACKEND-SERVER load|adapter|version|role ARGUMENT",
		ShortHelp:  "order an engine to load a model, adapter or version, or to change role",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 3 {
				return usageError("expected three arguments: a backend server, an action and its argument")
			}
			r, err := a.client().OrderEngine(ctx, connect.NewRequest(&pb.OrderEngineRequest{
				BackendServer: args[0],
				Action:        args[1],
				Argument:      args[2],
				Reason:        *reason,
			}))
			if err != nil {
				return err
			}
			return a.print(map[string]any{"orderId": r.Msg.GetOrderId(), "fencingNumber": r.Msg.GetFencingNumber()}, "",
				[][]string{{fmt.Sprintf("order %d committed, fencing number %d", r.Msg.GetOrderId(), r.Msg.GetFencingNumber())}})
		},
	}
}

// claimRow is one claim in the output of the claims subcommand.
type claimRow struct {
	ClientAccount string `json:"clientAccount"`
	Service       string `json:"service"`
	Key           string `json:"key"`
	Holder        string `json:"holder"`
	State         string `json:"state"`
	Reason        string `json:"reason,omitempty"`
}

func claimState(c *pb.ClaimView) string {
	if c.GetOpen() {
		return "open"
	}
	switch c.GetOutcome() {
	case pb.Outcome_OUTCOME_DONE:
		return "done"
	case pb.Outcome_OUTCOME_NOT_RUN:
		return "notRun"
	}
	return "inDoubt"
}

func (a *app) claims() *ffcli.Command {
	fs := flag.NewFlagSet("claims", flag.ContinueOnError)
	all := fs.Bool("all", false, "list settled claims too")
	return &ffcli.Command{
		Name:       "claims",
		ShortUsage: "camphor claims [-all]",
		ShortHelp:  "list the non-idempotent calls that are open or in doubt",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := a.client().ListClaims(ctx, connect.NewRequest(&pb.ListClaimsRequest{
				All: *all,
			}))
			if err != nil {
				return err
			}
			out := make([]claimRow, 0, len(r.Msg.GetClaims()))
			var rows [][]string
			for _, c := range r.Msg.GetClaims() {
				row := claimRow{
					ClientAccount: c.GetClientAccount(),
					Service:       c.GetService(),
					Key:           c.GetKey(),
					Holder:        c.GetHolder(),
					State:         claimState(c),
					Reason:        c.GetReason(),
				}
				out = append(out, row)
				rows = append(rows, []string{row.ClientAccount, row.Service, row.Key, row.Holder, row.State, row.Reason})
			}
			return a.print(out, "ACCOUNT SERVICE KEY HOLDER STATE REASON", rows)
		},
	}
}

func parseOutcome(s string) (pb.Outcome, error) {
	switch s {
	case "done":
		return pb.Outcome_OUTCOME_DONE, nil
	case "notRun":
		return pb.Outcome_OUTCOME_NOT_RUN, nil
	case "inDoubt":
		return pb.Outcome_OUTCOME_IN_DOUBT, nil
	}
	return 0, usageError("-outcome=" + s + ": accepted: done, notRun, inDoubt")
}

func (a *app) settle() *ffcli.Command {
	fs := flag.NewFlagSet("settle", flag.ContinueOnError)
	account := fs.String("account", "", "client account")
	service := fs.String("service", "", "service")
	outcome := fs.String("outcome", "", "done, notRun or inDoubt")
	reason := fs.String("reason", "", "reason for the change; it is recorded")
	return &ffcli.Command{
		Name:       "settle",
		ShortUsage: "camphor settle -account A -service S -outcome O -reason WHY KEY",
		ShortHelp:  "settle a claim that is open or in doubt",
		LongHelp:   "An open claim can't be settled as notRun: its holder may be suspended and still\nexecute the call later. Once the holder has reported the claim in doubt, it can.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			key, err := onlyArgument(args, "request key")
			if err != nil {
				return err
			}
			o, err := parseOutcome(*outcome)
			if err != nil {
				return err
			}
			if _, err := a.client().SettleClaim(ctx, connect.NewRequest(&pb.SettleClaimRequest{
				ClientAccount: *account,
				Service:       *service,
				Key:           key,
				Outcome:       o,
				Reason:        *reason,
			})); err != nil {
				return err
			}
			return a.print(map[string]string{"key": key, "outcome": *outcome}, "", [][]string{{key, "settled as " + *outcome}})
		},
	}
}

func (a *app) replica() *ffcli.Command {
	fs := flag.NewFlagSet("replica", flag.ContinueOnError)
	address := fs.String("control-listen", "", "control address of the replica to add")
	remove := fs.Bool("remove", false, "remove the replica")
	return &ffcli.Command{
		Name:       "replica",
		ShortUsage: "camphor replica [-control-listen HOST:PORT | -remove] INSTANCE",
		ShortHelp:  "add a control replica (it votes once it has caught up), or remove one",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := onlyArgument(args, "instance")
			if err != nil {
				return err
			}
			if *remove == (*address != "") {
				return usageError("exactly one of -control-listen and -remove is required")
			}
			if _, err := a.client().ChangeReplica(ctx, connect.NewRequest(&pb.ChangeReplicaRequest{
				Instance: name,
				Address:  *address,
				Remove:   *remove,
			})); err != nil {
				return err
			}
			return a.print(map[string]any{"instance": name, "removed": *remove}, "", [][]string{{name, "taken"}})
		},
	}
}
