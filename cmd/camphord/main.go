// Command camphord is the daemon that runs on every entry instance. It routes
// requests and, where a data directory is set, is a replica of the control group.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"camphorspoke/internal/daemon/logging"
	"camphorspoke/internal/daemon/server"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/daemon/version"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/link"
	"camphorspoke/platform/dialect"
	"camphorspoke/platform/endpoints"
	"camphorspoke/platform/engine"
	"camphorspoke/platform/serverlist"
)

// The exit codes of the process.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// The signal handlers are installed first, and stay until the process exits: a signal
	// before or after that would terminate the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
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
	// The first signal starts a graceful shutdown. A further SIGTERM changes nothing, since
	// whoever stops processes may send it more than once; an interrupt from a terminal then
	// terminates the process at once.
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	log, flush := logging.New(os.Stdout, set.LogLevel, set.Instance)
	defer flush()
	adapters := platformAdapters(set, log)
	adapters.Reload = hup
	adapters.Settings = func() (*settings.Settings, error) { return settings.Parse(args) }
	if err := server.Run(ctx, set, adapters, log); err != nil {
		log.WithError(err).Error("daemon: exiting after an error")
		return exitFailed
	}
	return 0
}

const (
	// listRateShare is the share of the accepted rate of list calls that is used. Two
	// instances may read the list for a moment, when the leadership changes.
	listRateShare = 0.8
	// listBurst is how many list calls may follow one another without a pause.
	listBurst = 8
)

// listLimiter returns the limiter of the list calls, where the platform accepts
// callsPerSecond; nil if that is zero.
func listLimiter(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(listRateShare*callsPerSecond), listBurst)
}

// platformAdapters returns the adapters to the users' platform.
func platformAdapters(set *settings.Settings, log logrus.FieldLogger) server.PlatformAdapters {
	engines := &engine.Client{
		HTTP: link.HTTPClient(),
	}
	return server.PlatformAdapters{
		Dialect: dialect.Dialect{},
		List: &serverlist.Client{
			Address: set.Entry.List,
			HTTP:    link.UnpooledHTTPClient(),
			Logger:  log,
			Limiter: listLimiter(set.Entry.ListRate),
		},
		CacheReader: engines,
		BirthReader: engines,
		Endpoints: func(d edge.Directory, r edge.RuleStore, ev edge.Evacuator) edge.Endpoints {
			return &endpoints.Endpoints{
				Directory: d,
				RuleStore: r,
				Evacuator: ev,
				Logger:    log,
			}
		},
	}
}
