// Package command implements camphor, the command-line client for operators.
//
// The subcommands that need the fleet send their request to one daemon, which
// may be any of them; explain without -would, replay and check work on local files.
// With -o json they print JSON with camelCase names instead of a table or text,
// except that dump always prints JSON, and explain of logs and replay always print
// text.
package command

// This file defines Root, the client of a daemon and the exit codes.

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/version"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// The exit codes of the command; docs/OPERATIONS.md documents them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitInDoubt     = 5
)

const exitHelp = `EXIT CODES
  0 done   1 failed   2 wrong usage or rule file   3 conflict with another edit
  4 not reachable, or no quorum   5 in doubt: retry with the same change`

// app holds the output and the global flags, which all subcommands share.
type app struct {
	out     io.Writer
	address string
	format  string
	timeout time.Duration
}

// Root returns the command tree, printing to out.
func Root(out io.Writer) *ffcli.Command {
	a := &app{
		out: out,
	}
	fs := flag.NewFlagSet("camphor", flag.ContinueOnError)
	fs.StringVar(&a.address, "addr", "127.0.0.1:7101", "address of any daemon")
	fs.StringVar(&a.format, "o", "table", "output: table or json")
	fs.DurationVar(&a.timeout, "timeout", 10*time.Second, "timeout of each request to the daemon")
	showVersion := fs.Bool("version", false, "print the version and exit")
	return &ffcli.Command{
		Name:       "camphor",
		ShortUsage: "camphor [-addr HOST:PORT] [-o table|json] <subcommand> ...",
		LongHelp: "camphor operates a camphorspoke fleet. Flags may be given as CAMPHOR_NAME in the\nenvironment.\n\nEXAMPLES\n" +
			"  camphor check rules.txt\n  camphor show > rules.txt\n  camphor apply -base 12 rules.txt\n" +
			"  camphor drain -reason \"new driver\" assist-1\n  camphor dump 127.0.0.1:7101\n\n" + exitHelp,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("CAMPHOR")},
		Subcommands: []*ffcli.Command{
			a.check(), a.diff(), a.apply(), a.show(), a.status(), a.dump(),
			a.drain(), a.undrain(), a.evacuate(), a.order(), a.claims(), a.settle(), a.quarantines(), a.release(), a.replica(), a.replay(), a.explain(),
		},
		Exec: func(context.Context, []string) error {
			if *showVersion {
				fmt.Fprintln(out, "camphor", version.String())
				return nil
			}
			return flag.ErrHelp
		},
	}
}

// ExitCode returns the exit code for an error of the command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	}
	switch fault.KindOf(err) {
	case fault.RuleConflict:
		return ExitConflict
	case fault.BadRules, fault.BadRequest, fault.BadSetting:
		return ExitUsage
	case fault.NoQuorum, fault.NotLeader, fault.RulesStale:
		return ExitUnavailable
	case fault.InDoubt:
		return ExitInDoubt
	}
	if connect.CodeOf(err) == connect.CodeUnavailable {
		return ExitUnavailable
	}
	return ExitFailed
}

// Describe formats an error for operators: its kind, subject, advice and the
// rule version in force, where the error carries them.
func Describe(err error) string {
	d := fault.Detail(err)
	if d == nil {
		return err.Error()
	}
	s := d.GetKind()
	if d.GetSubject() != "" {
		s += " " + d.GetSubject()
	}
	if d.GetAdvice() != "" {
		s += ": " + d.GetAdvice()
	}
	if d.GetRuleVersion() != 0 {
		s += fmt.Sprintf(" (version in force: %d)", d.GetRuleVersion())
	}
	return s
}

func (a *app) client() camphorspokev1connect.OperatorServiceClient {
	return camphorspokev1connect.NewOperatorServiceClient(&http.Client{
		Timeout: a.timeout,
	}, "http://"+a.address)
}

// print writes v as JSON, or rows as a table under header, whose columns are
// separated by spaces.
func (a *app) print(v any, header string, rows [][]string) error {
	switch a.format {
	case "json":
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "table":
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		if header != "" {
			fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
		}
		for _, r := range rows {
			fmt.Fprintln(w, strings.Join(r, "\t"))
		}
		return w.Flush()
	}
	return fault.New(fault.BadSetting, "-o="+a.format, "accepted: table, json")
}

func usageError(text string) error {
	return fault.New(fault.BadRequest, "usage", text)
}

// onlyArgument returns the single argument; what names it in the error message.
func onlyArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usageError("expected exactly one " + what)
	}
	return args[0], nil
}
