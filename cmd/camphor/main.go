// Command camphor is the operators' command line.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"camphorspoke/internal/client/command"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := command.Root(os.Stdout).ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "camphor:", command.Describe(err))
	}
	return command.ExitCode(err)
}
