package command

// This file defines the explain subcommand, which searches logs for one request.

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/client/explain"
)

func (a *app) explain() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	id := fs.String("id", "", "id of the request")
	would := fs.Bool("would", false, "explain what would be decided on a request now, without sending it")
	var w wouldFlags
	w.register(fs)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "camphor explain -id ID FILE...\n  camphor explain -would -host HOST -path PATH [-account NAME | -key KEY] [-parts ID:TOKENS,...]",
		ShortHelp:  "print the log lines of one request, or where a request would go now",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if *would {
				return a.explainWould(ctx, *id, w, args)
			}
			if *id == "" || len(args) == 0 {
				return fault.New(fault.BadRequest, "explain", "-id and at least one log file are required")
			}
			var logs []io.Reader
			for _, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return fault.Wrap(fault.BadRequest, path, err)
				}
				defer f.Close()
				logs = append(logs, f)
			}
			return explain.WriteHistory(a.out, *id, logs...)
		},
	}
}
