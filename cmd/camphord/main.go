// Command camphord is the daemon that runs on every entry instance. It routes
// requests and, where it has a data folder, is a replica of the control group.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/daemon/logging"
	"camphorspoke/internal/daemon/server"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/daemon/version"
	"camphorspoke/internal/edge"
	"camphorspoke/platform/dialect"
	"camphorspoke/platform/endpoints"
	"camphorspoke/platform/engine"
	"camphorspoke/platform/list"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// Signals are taken first: one that comes before would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
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
	// The first signal starts a graceful stop; a second one cuts.
	context.AfterFunc(ctx, stop)
	log, flush := logging.New(os.Stdout, set.LogLevel, set.Instance)
	defer flush()
	out := outside(set, log)
	out.Reload = hup
	out.Settings = func() (*settings.Settings, error) { return settings.Parse(args) }
	if err := server.Run(ctx, set, out, log); err != nil {
		log.WithError(err).Error("daemon: failed")
		return exitFailed
	}
	return 0
}

// outside returns what meets the users' platform.
func outside(set *settings.Settings, log logrus.FieldLogger) server.Outside {
	return server.Outside{
		Dialect: dialect.Dialect{},
		List: &list.Client{
			Address: set.Entry.List,
			HTTP:    http.DefaultClient,
			Logger:  log,
		},
		Caches: &engine.Client{
			HTTP: http.DefaultClient,
		},
		Endpoints: func(d edge.Directory, r edge.Rulebook) edge.Endpoints {
			return &endpoints.Endpoints{
				Directory: d,
				Rulebook:  r,
				Logger:    log,
			}
		},
	}
}
