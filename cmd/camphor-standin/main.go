// Command camphor-standin runs a simulated model engine, plain service or
// platform for camphorspoke to connect to.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/standin/engine"
	"camphorspoke/internal/standin/plain"
	"camphorspoke/internal/standin/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "camphor-standin engine|plain|platform [flags]",
		Subcommands: []*ffcli.Command{engineCommand(), plainCommand(), platformCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "camphor-standin:", err)
		os.Exit(2)
	}
}

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	server := &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
	}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return fault.Wrap(fault.BadSetting, "-listen="+address, err)
	}
	return nil
}

func engineCommand() *ffcli.Command {
	e := &engine.Engine{}
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7801", "address to listen on")
	fs.StringVar(&e.Name, "name", "engine", "name of the engine")
	fs.IntVar(&e.Slots, "slots", 8, "number of requests that run concurrently")
	fs.Uint64Var(&e.CacheTokens, "cache-tokens", 400_000, "capacity of the prefix cache, in tokens")
	fs.IntVar(&e.PrefillPerSecond, "prefill", 20_000, "uncached prompt tokens processed per second")
	fs.DurationVar(&e.TokenInterval, "token-every", 2*time.Millisecond, "time between two output tokens")
	fs.DurationVar(&e.EventDelay, "event-lag", 500*time.Millisecond, "delay of cache events")
	fs.Float64Var(&e.EventLossRate, "event-gap", 0.1, "share of cache events that are lost, 0 to 1")
	fs.BoolVar(&e.CheckFence, "check-fence", false, "reject orders with an old fencing number")
	return &ffcli.Command{
		Name:    "engine",
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			mux := http.NewServeMux()
			mux.Handle(camphorspokev1connect.NewEngineServiceHandler(e))
			mux.HandleFunc("/peak", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, e.PeakRequests()) })
			mux.HandleFunc("/orders", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.OrderCounts()) })
			mux.HandleFunc("/lastnew", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, e.LastStart().UnixMilli()) })
			return serve(ctx, *listen, mux)
		},
	}
}

func plainCommand() *ffcli.Command {
	s := &plain.Service{}
	fs := flag.NewFlagSet("plain", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7851", "address to listen on")
	fs.DurationVar(&s.Delay, "delay", 5*time.Millisecond, "duration of a call")
	return &ffcli.Command{
		Name:    "plain",
		FlagSet: fs,
		Exec:    func(ctx context.Context, _ []string) error { return serve(ctx, *listen, s) },
	}
}

func platformCommand() *ffcli.Command {
	p := &platform.Platform{}
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7900", "address to listen on")
	servers := fs.String("servers", "", "name/service/address/domain/slots/cacheTokens,...")
	fs.DurationVar(&p.Lag, "lag", 300*time.Millisecond, "delay until a change appears in the list")
	return &ffcli.Command{
		Name:    "platform",
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			rows, err := parseServers(*servers)
			if err != nil {
				return err
			}
			p.Servers = rows
			mux := http.NewServeMux()
			mux.Handle(camphorspokev1connect.NewPlatformServiceHandler(p))
			mux.HandleFunc("POST /change", p.ServeChange)
			return serve(ctx, *listen, mux)
		},
	}
}

// parseServers parses the value of -servers.
func parseServers(list string) ([]*pb.ListedServer, error) {
	var out []*pb.ListedServer
	for row := range strings.SplitSeq(list, ",") {
		f := strings.Split(row, "/")
		if len(f) != 6 {
			return nil, fault.New(fault.BadSetting, "-servers="+row, "accepted: name/service/address/domain/slots/cacheTokens,...")
		}
		slots, err1 := strconv.ParseUint(f[4], 10, 32)
		cache, err2 := strconv.ParseUint(f[5], 10, 64)
		if err1 != nil || err2 != nil {
			return nil, fault.New(fault.BadSetting, "-servers="+row, "accepted: non-negative integers for slots and cacheTokens")
		}
		out = append(out, &pb.ListedServer{
			Name:          f[0],
			Service:       f[1],
			Address:       f[2],
			FailureDomain: f[3],
			Slots:         uint32(slots),
			CacheTokens:   cache,
		})
	}
	return out, nil
}
