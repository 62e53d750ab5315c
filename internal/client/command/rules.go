package command

// This file defines the subcommands of the rule file.

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

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
	"camphorspoke/internal/world/fault"
)

// readRules reads and checks a rule file.
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
		ShortHelp:  "read a rule file and say what is wrong with it; needs no daemon",
		Exec: func(_ context.Context, args []string) error {
			path, err := one(args, "rule file")
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
	base := fs.Int64("base", -1, "the version that the edit was made from (camphor show tells); 0 for the first")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "camphor apply -base VERSION FILE",
		ShortHelp:  "hand over a rule file; accepted only if VERSION is in force",
		LongHelp:   "The answer comes once a majority of the routers holds the version. Sending the\nsame change again gets the first answer again.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			path, err := one(args, "rule file")
			if err != nil {
				return err
			}
			if *base < 0 {
				return usage("-base=" + strconv.FormatInt(*base, 10) + ": accepted: the version in force, or 0 for the first")
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
			path, err := one(args, "rule file")
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
			added, removed := compare(lines(r.Msg.GetContent()), lines(next))
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

func lines(content []byte) []string {
	var out []string
	for l := range strings.SplitSeq(string(content), "\n") {
		if l = strings.TrimSpace(l); l != "" {
			out = append(out, l)
		}
	}
	return out
}

// compare returns the lines only in next and those only in old; the order of
// rules has no meaning.
func compare(old, next []string) (added, removed []string) {
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
