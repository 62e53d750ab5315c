// Command camphor-soak runs a fleet of real processes on loopback under random
// faults, one seed after another, and reports which guarantees were violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/check/soak"
)

func main() {
	fs := flag.NewFlagSet("camphor-soak", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "directory of the binaries")
	seed := fs.Uint64("seed", 1, "first seed")
	count := fs.Uint64("count", 1, "number of seeds to run, one after another")
	span := fs.Duration("span", 20*time.Second, "how long faults are injected for each seed")
	daemons := fs.Int("daemons", 6, "number of daemons, at least as many as replicas")
	replicas := fs.Int("replicas", 3, "number of daemons that are control replicas")
	callers := fs.Int("callers", 12, "number of concurrent callers")
	chats := fs.Int("chats", 12, "number of concurrent callers that hold long chats")
	noFaults := fs.Bool("no-faults", false, "inject no faults but those that other flags ask for")
	planned := fs.Bool("planned", false, "inject planned operations only")
	failAll := fs.Bool("fail-all", false, "let all servers of a service fail half of their requests at times")
	evacuate := fs.Bool("evacuate", false, "evacuate failure domains")
	rename := fs.Bool("rename", false, "let backend servers become other incarnations at their addresses, and repeat refusals late")
	crash := fs.Bool("crash", false, "send requests that crash the backend servers which execute them, again and again")
	versions := fs.Bool("versions", false, "let backend servers of two software versions serve side by side, and take streams up again elsewhere")
	killRouters := fs.Bool("kill-routers", false, "kill daemons that are no control replicas, one after the other")
	killFirst := fs.Bool("kill-first-start", true, "kill a seed while the control group forms")
	grace := fs.Duration("grace", 4*time.Second, "grace period of planned stops")
	keep := fs.String("keep", "", "directory for the logs of failed seeds; if empty, logs are not kept")
	verbose := fs.Bool("v", false, "print each injected fault")
	root := &ffcli.Command{
		Name:       "camphor-soak",
		ShortUsage: "camphor-soak [flags]",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			failures := 0
			for s := *seed; s < *seed+*count && ctx.Err() == nil; s++ {
				cfg := soak.Config{
					Bin:           *bin,
					Seed:          s,
					FaultDuration: *span,
					Daemons:       max(*daemons, *replicas),
					Replicas:      max(*replicas, 1),
					Callers:       *callers,
					ChatCallers:   *chats,
					NoFaults:      *noFaults,
					PlannedOnly:   *planned,
					FailAll:       *failAll,
					Evacuate:      *evacuate,
					RenameServers: *rename,
					CrashServers:  *crash,
					Versions:      *versions,
					KillRouters:   *killRouters,
					Grace:         *grace,

					KillFirstStart: *killFirst,
				}
				if *verbose {
					cfg.Log = os.Stdout
				}
				failed, err := runSeed(ctx, cfg, *keep)
				if err != nil {
					return err
				}
				if failed {
					failures++
				}
			}
			if failures > 0 {
				return fmt.Errorf("%d seeds failed", failures)
			}
			return nil
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-soak:", err)
		os.Exit(1)
	}
}

// runSeed runs the soak with one seed in a temporary directory and prints its
// report. It moves the directory of a failed seed to keep, unless keep is empty.
func runSeed(ctx context.Context, cfg soak.Config, keep string) (failed bool, err error) {
	if cfg.Dir, err = os.MkdirTemp("", "camphor-soak-"); err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		return false, err
	}
	report.Print(os.Stdout)
	failed = len(report.Violations) > 0
	if failed && keep != "" {
		if err := os.MkdirAll(keep, 0o750); err != nil {
			return failed, err
		}
		return failed, os.Rename(cfg.Dir, filepath.Join(keep, fmt.Sprintf("seed-%d", cfg.Seed)))
	}
	return failed, os.RemoveAll(cfg.Dir)
}
