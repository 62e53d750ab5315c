// Command camphord is the daemon that runs on every entry instance. It routes
// requests and, where it has a data folder, is a replica of the control group.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"camphorspoke/internal/daemon/logging"
	"camphorspoke/internal/daemon/server"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/daemon/version"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	set, err := settings.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, "camphord:", err)
		return exitSettings
	case set.ShowVersion:
		fmt.Println("camphord", version.String())
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The first signal starts a graceful stop; a second one cuts.
	context.AfterFunc(ctx, stop)
	log := logging.New(os.Stderr, set.LogLevel, set.Instance)
	if err := server.Run(ctx, set, log); err != nil {
		log.WithError(err).Error("daemon: failed")
		return exitFailed
	}
	return 0
}
