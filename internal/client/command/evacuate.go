package command

// This file defines the subcommand that starts and ends evacuations of failure domains, and
// how the status subcommand lists them.

import (
	"context"
	"flag"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// evacuationRow is an evacuation as a daemon's dump has it.
type evacuationRow struct {
	FailureDomain string `json:"failureDomain"`
	Reason        string `json:"reason"`
	SinceMs       int64  `json:"sinceMs"`
	Index         uint64 `json:"index"`
	Servers       int    `json:"servers"`
	Running       int    `json:"running"`
}

// cells returns the row of the status table.
func (e evacuationRow) cells() []string {
	return []string{
		"evacuation", e.FailureDomain, e.FailureDomain, fmt.Sprintf("%d servers", e.Servers),
		fmt.Sprintf("%d running, for %s: %s", e.Running, time.Duration(e.SinceMs)*time.Millisecond, e.Reason), "evacuated",
	}
}

func (a *app) evacuate() *ffcli.Command {
	fs := flag.NewFlagSet("evacuate", flag.ContinueOnError)
	reason := fs.String("reason", "", "reason for the change; it is recorded")
	finish := fs.Bool("finish", false, "end the evacuation instead of starting it")
	return &ffcli.Command{
		Name:       "evacuate",
		ShortUsage: "camphor evacuate [-finish] -reason WHY FAILURE-DOMAIN",
		ShortHelp:  "send no new work to the backend servers of a failure domain, or end that",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			domain, err := onlyArgument(args, "failure domain")
			if err != nil {
				return err
			}
			if _, err := a.client().Evacuate(ctx, connect.NewRequest(&pb.EvacuateRequest{
				FailureDomain: domain,
				Active:        !*finish,
				Reason:        *reason,
			})); err != nil {
				return err
			}
			state := "evacuated"
			if *finish {
				state = "open"
			}
			return a.print(map[string]any{"failureDomain": domain, "evacuated": !*finish}, "", [][]string{{domain, state}})
		},
	}
}
