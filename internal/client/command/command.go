// Package command is the operators' command line.
//
// Every subcommand talks to one daemon, any of them; -o json prints what -o
// table prints as JSON with camelCase names.
package command

// This file defines Root, the connection to a daemon and the exit codes.

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

	"camphorspoke/internal/daemon/version"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/world/fault"
)

// The exit codes, as docs/OPERATIONS.md lists them.
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
  4 not reachable, or no quorum   5 in doubt: ask again with the same change`

// app is what the subcommands share.
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
	fs.DurationVar(&a.timeout, "timeout", 10*time.Second, "longest time for an answer")
	showVersion := fs.Bool("version", false, "print the version and exit")
	return &ffcli.Command{
		Name:       "camphor",
		ShortUsage: "camphor [-addr HOST:PORT] [-o table|json] <subcommand> ...",
		LongHelp: "camphor drives a camphorspoke fleet. Flags may be given as CAMPHOR_NAME in the\nenvironment.\n\nEXAMPLES\n" +
			"  camphor check rules.txt\n  camphor show > rules.txt\n  camphor apply -base 12 rules.txt\n" +
			"  camphor drain -reason \"new driver\" assist-1\n  camphor dump 127.0.0.1:7101\n\n" + exitHelp,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("CAMPHOR")},
		Subcommands: []*ffcli.Command{
			a.check(), a.diff(), a.apply(), a.show(), a.status(), a.dump(),
			a.drain(), a.undrain(), a.order(), a.claims(), a.settle(), a.replica(), a.replay(), a.explain(),
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

// ExitCode returns the exit code for the error of a run.
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

// Describe returns an error as an operator should read it.
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

// print writes v as JSON, or rows as a table under head.
func (a *app) print(v any, head string, rows [][]string) error {
	switch a.format {
	case "json":
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "table":
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		if head != "" {
			fmt.Fprintln(w, strings.ReplaceAll(head, " ", "\t"))
		}
		for _, r := range rows {
			fmt.Fprintln(w, strings.Join(r, "\t"))
		}
		return w.Flush()
	}
	return fault.New(fault.BadSetting, "-o="+a.format, "accepted: table, json")
}

func usage(text string) error {
	return fault.New(fault.BadRequest, "usage", text)
}

// one returns the only argument.
func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usage("give one " + what)
	}
	return args[0], nil
}
