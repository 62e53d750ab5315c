package command

// This file defines the subcommands that list and end quarantines of requests and of parts of
// prompts.

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"slices"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// quarantineRow is a quarantine as a daemon's dump has it.
type quarantineRow struct {
	Service      string   `json:"service"`
	ID           string   `json:"id"`
	Parts        []string `json:"parts"`
	WholeRequest bool     `json:"wholeRequest"`
	FailedTrials uint32   `json:"failedTrials"`
	Source       string   `json:"source"`
}

// kind returns what the quarantine refuses.
func (q quarantineRow) kind() string {
	if q.WholeRequest {
		return "request"
	}
	return "prompt"
}

func (a *app) quarantines() *ffcli.Command {
	return &ffcli.Command{
		Name:       "quarantines",
		ShortUsage: "camphor quarantines",
		ShortHelp:  "list the requests and the parts of prompts that are refused because they crash the servers which run them",
		Exec: func(ctx context.Context, _ []string) error {
			b, err := a.fetchDump(ctx)
			if err != nil {
				return err
			}
			var d struct {
				Quarantines []quarantineRow `json:"quarantines"`
			}
			if err := json.Unmarshal(b, &d); err != nil {
				return fault.Wrap(fault.Internal, "dump", err)
			}
			slices.SortFunc(d.Quarantines, func(x, y quarantineRow) int {
				return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.ID, y.ID))
			})
			var rows [][]string
			for _, q := range d.Quarantines {
				rows = append(rows, []string{q.Service, q.ID, q.kind(), strings.Join(q.Parts, ","), strconv.FormatUint(uint64(q.FailedTrials), 10), q.Source})
			}
			return a.print(d.Quarantines, "SERVICE ID KIND PARTS FAILEDTRIALS FOUNDBY", rows)
		},
	}
}

func (a *app) release() *ffcli.Command {
	fs := flag.NewFlagSet("release", flag.ContinueOnError)
	reason := fs.String("reason", "", "reason for the change; it is recorded")
	return &ffcli.Command{
		Name:       "release",
		ShortUsage: "camphor release -reason WHY SERVICE ID",
		ShortHelp:  "end a quarantine",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("expected two arguments: a service and the ID of a quarantine")
			}
			id, err := strconv.ParseUint(args[1], 16, 64)
			if err != nil {
				return usageError("the ID of a quarantine is a hexadecimal number, as camphor quarantines lists it")
			}
			if _, err := a.client().Release(ctx, connect.NewRequest(&pb.ReleaseRequest{
				Service:    args[0],
				Quarantine: id,
				Reason:     *reason,
			})); err != nil {
				return err
			}
			return a.print(map[string]any{"service": args[0], "id": args[1], "released": true}, "", [][]string{{args[0], args[1], "released"}})
		},
	}
}
