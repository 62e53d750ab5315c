package command

// This file defines the replay subcommand.

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/replay"
)

func (a *app) replay() *ffcli.Command {
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "camphor replay TRACE",
		ShortHelp:  "run a recorded trace through the decision code and print the outcomes",
		Exec: func(_ context.Context, args []string) error {
			path, err := onlyArgument(args, "trace")
			if err != nil {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return fault.Wrap(fault.BadRequest, path, err)
			}
			defer f.Close()
			var t replay.Replayer
			return t.Run(path, f, a.out)
		},
	}
}
