package command

// This file defines the subcommands that check, show, compare and apply rule
// files.

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
)

// readRules reads a rule file and returns its content if it parses.
func readRules(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, path, err)
	}
	if _, err := parse.Rules(path, b); err != nil {
		return nil, &fault.Fault{
			Kind:   fault.BadRules,
			Advice: "\n" + err.Error(),
		}
	}
	return b, nil
}

func (a *app) check() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "camphor check FILE",
		ShortHelp:  "check a rule file and print its errors; needs no daemon",
		Exec: func(_ context.Context, args []string) error {
			path, err := onlyArgument(args, "rule file")
			if err != nil {
				return err
			}
			if _, err := readRules(path); err != nil {
				return err
			}
			return a.print(map[string]bool{"ok": true}, "", [][]string{{path, "ok"}})
		},
	}
}

func (a *app) show() *ffcli.Command {
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "camphor show",
		ShortHelp:  "print the rule file in force; its version goes to standard error",
		Exec: func(ctx context.Context, _ []string) error {
			r, err := a.client().ShowRules(ctx, connect.NewRequest(&pb.ShowRulesRequest{}))
			if err != nil {
				return err
			}
			if a.format == "json" {
				return a.print(map[string]any{
					"version": r.Msg.GetVersion(),
					"content": string(r.Msg.GetContent()),
				}, "", nil)
			}
			fmt.Fprintf(os.Stderr, "version %d\n", r.Msg.GetVersion())
			_, err = a.out.Write(r.Msg.GetContent())
			return err
		},
	}
}

func (a *app) apply() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	base := fs.Int64("base", -1, "the version that the edit is based on (camphor show prints it); 0 for the first")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "camphor apply -base VERSION FILE",
		ShortHelp:  "submit a rule file; accepted only if VERSION is in force",
		LongHelp:   "The command returns once a majority of the routers holds the version. Repeating\nthe same change returns the result of the first time.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			path, err := onlyArgument(args, "rule file")
			if err != nil {
				return err
			}
			if *base < 0 {
				return usageError("-base=" + strconv.FormatInt(*base, 10) + ": accepted: the version in force, or 0 for the first")
			}
			content, err := readRules(path)
			if err != nil {
				return err
			}
			r, err := a.client().ApplyRules(ctx, connect.NewRequest(&pb.ApplyRulesRequest{
				BaseVersion: uint64(*base),
				Content:     content,
			}))
			if err != nil {
				return err
			}
			again := ""
			if r.Msg.GetRepeated() {
				again = " (accepted before)"
			}
			return a.print(map[string]any{
				"version":        r.Msg.GetVersion(),
				"repeated":       r.Msg.GetRepeated(),
				"routersInForce": r.Msg.GetRoutersInForce(),
				"routersListed":  r.Msg.GetRoutersListed(),
			}, "", [][]string{{fmt.Sprintf("version %d accepted%s, in force on %d of %d routers", r.Msg.GetVersion(), again, r.Msg.GetRoutersInForce(), r.Msg.GetRoutersListed())}})
		},
	}
}

func (a *app) diff() *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "camphor diff FILE",
		ShortHelp:  "compare a rule file with the one in force, rule by rule",
		Exec: func(ctx context.Context, args []string) error {
			path, err := onlyArgument(args, "rule file")
			if err != nil {
				return err
			}
			next, err := readRules(path)
			if err != nil {
				return err
			}
			r, err := a.client().ShowRules(ctx, connect.NewRequest(&pb.ShowRulesRequest{}))
			if err != nil {
				return err
			}
			added, removed := diffLines(nonEmptyLines(r.Msg.GetContent()), nonEmptyLines(next))
			if a.format == "json" {
				return a.print(map[string]any{
					"version": r.Msg.GetVersion(),
					"added":   added,
					"removed": removed,
				}, "", nil)
			}
			for _, l := range removed {
				fmt.Fprintln(a.out, "-", l)
			}
			for _, l := range added {
				fmt.Fprintln(a.out, "+", l)
			}
			return nil
		},
	}
}

func nonEmptyLines(content []byte) []string {
	var out []string
	for l := range strings.SplitSeq(string(content), "\n") {
		if l = strings.TrimSpace(l); l != "" {
			out = append(out, l)
		}
	}
	return out
}

// diffLines returns the lines only in next and those only in old. It ignores
// the order of lines, as the order of rules has no meaning.
func diffLines(old, next []string) (added, removed []string) {
	for _, l := range next {
		if !slices.Contains(old, l) {
			added = append(added, l)
		}
	}
	for _, l := range old {
		if !slices.Contains(next, l) {
			removed = append(removed, l)
		}
	}
	return added, removed
}
