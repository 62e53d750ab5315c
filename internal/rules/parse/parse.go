// Package parse parses the rule file.
//
// The file holds one rule per line: a keyword, a name, settings as key=value, and a
// comment "# WHO: why" that gives who requested the rule and for what reason. Blank
// lines and lines with only a comment are allowed. The grammar:
//
//	service NAME type=engine|plain [bound=1.25] [retry=10%] [hedge=0%]
//	        [retention=24h]
//	        [move=64MiB] [spill=cold|move] [fence=checked|ignored] # WHO: why
//	account NAME share=N [limit=N]                       # WHO: why
//	account - share=1 keys=-                             # WHO: why
//	kind NAME class=urgent|normal|batch                  # WHO: why
//	nonidempotent SERVICE call=NAME                      # WHO: why
//	route NAME host=H prefix=/P/ kind=safe|unsafe|stream to=SERVICE[:WEIGHT],...
//	        timeout=6s [objective=400ms] [gap=250ms] [attempts=1] [priority=0]
//	        [public=no|yes] [affine=no|yes] [resume=no|yes]   # WHO: why
//	ingress NAME [header-bytes=N] [body-bytes=N] [header-time=3s] [idle-time=15s]
//	                                                     # WHO: why
//
// In the host and the prefix of a route, characters that would end the value, such
// as a space or '#', are percent-encoded. A service also accepts [health=PATH]
// [connections=N] [slots=N] [cache-tokens=N] [fetch=no|yes] [cold-time=3s] [cold-rate=14],
// an account [priority=N] [keys=DIGEST,...]. Callers need a key as soon as the file has an account
// rule; "account -" with keys=- is one that adds no account.
//
// A file with any error is rejected as a whole. Errors are reported with their
// position as file:line:column, like those of a compiler, up to MaxProblems of them.
package parse

// This file defines the parser, its rules for services, accounts and calls, and Error.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"camphorspoke/internal/rules/ruleset"
)

// MaxBytes is the largest size of a rule file.
const MaxBytes = 8 << 20

// MaxProblems is the maximum number of problems reported for one file.
const MaxProblems = 20

// Error lists the problems of a rule file.
type Error struct {
	Problems []problem
}

// problem is one error message with its position.
type problem struct {
	name      string
	line, col int
	message   string
}

func (p problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.name, p.line, p.col, p.message)
}

// Error implements error. It returns one problem per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Rules parses a rule file. name is the file name to report in the positions of
// problems. A failure is an *Error.
func Rules(name string, content []byte) (*ruleset.Rules, error) {
	p := &parser{
		name: name,
		out: &ruleset.Rules{
			Services:           make(map[string]ruleset.Service),
			Accounts:           make(map[string]ruleset.Account),
			AccountByKeyDigest: make(map[string]string),
			Kinds:              make(map[string]int),
			Authors:            make(map[int]string),
		},
		nonIdempotentCalls: make(map[string][]callRule),
	}
	if len(content) > MaxBytes {
		p.fail(1, 1, "the file is larger than %d bytes", MaxBytes)
		return nil, &p.err
	}
	for i, text := range strings.Split(string(content), "\n") {
		p.line = i + 1
		p.parseLine(strings.TrimSuffix(text, "\r"))
	}
	p.resolveCalls()
	p.checkRoutes()
	if len(p.err.Problems) > 0 {
		return nil, p.sortedError()
	}
	return p.out, nil
}

// callRule is one nonidempotent rule: the call and the position of its service.
type callRule struct {
	name      string
	line, col int
}

type parser struct {
	name string
	line int
	out  *ruleset.Rules
	// nonIdempotentCalls holds the nonidempotent rules by service, until
	// resolveCalls.
	nonIdempotentCalls map[string][]callRule
	// routePositions holds the position of each route in out.Routes.
	routePositions []position
	err            Error
}

// word is a token of a line, with its column counted from 1.
type word struct {
	text string
	col  int
}

// fail records a problem and lets the parser continue.
func (p *parser) fail(line, col int, format string, args ...any) {
	p.err.Problems = append(p.err.Problems, problem{
		name:    p.name,
		line:    line,
		col:     col,
		message: fmt.Sprintf(format, args...),
	})
}

// sortedError returns the first MaxProblems problems in the order of the file.
func (p *parser) sortedError() *Error {
	slices.SortStableFunc(p.err.Problems, func(a, b problem) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.col, b.col))
	})
	p.err.Problems = p.err.Problems[:min(len(p.err.Problems), MaxProblems)]
	return &p.err
}

func (p *parser) parseLine(text string) {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			p.fail(p.line, i+1, "control character %#02x", c)
			return
		}
	}
	rule, comment, found := strings.Cut(text, "#")
	words := splitWords(rule)
	if len(words) == 0 {
		return
	}
	if !found {
		p.fail(p.line, len(text)+1, "the rule has no comment: end the line with \"# WHO: why\"")
		return
	}
	who, why, ok := strings.Cut(comment, ":")
	who = strings.TrimSpace(who)
	if !ok || who == "" || strings.TrimSpace(why) == "" {
		p.fail(p.line, len(rule)+1, "the comment must name who asked and why: \"# WHO: why\"")
		return
	}
	p.out.Authors[p.line] = who
	if len(words) < 2 {
		p.fail(p.line, words[0].col+len(words[0].text), "%q needs a name", words[0].text)
		return
	}
	if !validName(words[1].text) {
		p.fail(p.line, words[1].col, "bad name %q: use letters, digits, '-', '_' and '.', at most 64", words[1].text)
		return
	}
	p.parseRule(words)
}

func (p *parser) parseRule(words []word) {
	keyword, name := words[0], words[1]
	s, ok := p.settings(words[2:], name.col+len(name.text))
	if !ok {
		return
	}
	switch keyword.text {
	case "service":
		p.service(name, s)
	case "account":
		p.account(name, s)
	case "kind":
		p.kind(name, s)
	case "nonidempotent":
		p.nonIdempotent(name, s)
	case "route":
		p.route(name, s)
	case "ingress":
		p.ingress(s)
	default:
		p.fail(p.line, keyword.col, "unknown rule %q: use service, account, kind, nonidempotent, route or ingress", keyword.text)
		return
	}
	s.reportUnknown()
}

func (p *parser) service(name word, s *settings) {
	if _, dup := p.out.Services[name.text]; dup {
		p.fail(p.line, name.col, "service %q has a rule already", name.text)
		s.discard()
		return
	}
	typ := s.choice("type", "", "engine", "plain")
	svc := ruleset.Service{
		Name:              name.text,
		Plain:             typ == "plain",
		LoadBound:         s.float("bound", ruleset.DefaultLoadBound, 1, 100),
		NonIdempotent:     make(map[string]bool),
		Retention:         s.duration("retention", ruleset.DefaultRetention, time.Minute, 31*24*time.Hour),
		RetryPercent:      s.percent("retry", ruleset.DefaultRetryPercent),
		MaxMoveBytes:      s.bytes("move", ruleset.DefaultMaxMoveBytes),
		MovesCacheOnSpill: s.choice("spill", "cold", "cold", "move") == "move",
		HealthPath:        s.text("health", ""),
		MaxConnections:    s.integer("connections", 0, 1, 1_000_000),
		Slots:             s.integer("slots", 0, 1, 1_000_000),
		CacheTokens:       s.integer("cache-tokens", 0, 1, 1_000_000_000),
		FetchesPrefixes:   s.choice("fetch", no, no, yes) == yes,
		ChecksFencing:     s.choice("fence", "ignored", "checked", "ignored") == "checked",
		ColdTime:          s.duration("cold-time", 0, 0, ruleset.MaxColdTime),
		ColdRate:          s.float("cold-rate", 0, 0, ruleset.MaxColdRate),
	}
	if _, ok := s.values["hedge"]; ok {
		svc.HasHedge = true
		svc.HedgePercent = s.percent("hedge", 0)
	}
	p.out.Services[name.text] = svc
}

func (p *parser) account(name word, s *settings) {
	if _, dup := p.out.Accounts[name.text]; dup {
		p.fail(p.line, name.col, "account %q has a rule already", name.text)
		s.discard()
		return
	}
	p.out.RequiresKeys = true
	a := ruleset.Account{
		Name:        name.text,
		Share:       s.integer("share", -1, 1, 1_000_000),
		MaxInFlight: s.integer("limit", 0, 1, 1_000_000),
	}
	if _, ok := s.values["priority"]; ok {
		a.HasPriority = true
		a.Priority = s.integer("priority", 0, 0, maxPriority)
	}
	if name.text == ruleset.NoAccount && s.values["keys"].text == ruleset.NoAccount {
		s.take("keys")
		return
	}
	p.keys(name.text, s)
	p.out.Accounts[name.text] = a
	p.out.TotalShare += a.Share
}

func (p *parser) kind(name word, s *settings) {
	if _, dup := p.out.Kinds[name.text]; dup {
		p.fail(p.line, name.col, "kind %q has a rule already", name.text)
		s.discard()
		return
	}
	class := ruleset.Normal
	switch s.choice("class", "", "urgent", "normal", "batch") {
	case "urgent":
		class = ruleset.Urgent
	case "batch":
		class = ruleset.Batch
	}
	p.out.Kinds[name.text] = class
}

func (p *parser) nonIdempotent(name word, s *settings) {
	w, ok := s.take("call")
	if !ok {
		p.fail(p.line, s.end, "call= is missing")
		return
	}
	if !validName(w.text) {
		p.fail(p.line, w.col, "invalid call name %q", w.text)
		return
	}
	p.nonIdempotentCalls[name.text] = append(p.nonIdempotentCalls[name.text], callRule{
		name: w.text,
		line: p.line,
		col:  name.col,
	})
}

// resolveCalls adds the nonidempotent rules to their services. It runs after all
// lines are parsed, so that a rule may precede its service.
func (p *parser) resolveCalls() {
	for service, calls := range p.nonIdempotentCalls {
		svc, ok := p.out.Services[service]
		for _, c := range calls {
			switch {
			case !ok:
				p.fail(c.line, c.col, "service %q has no rule", service)
			case !svc.Plain:
				p.fail(c.line, c.col, "service %q is not plain: only plain services have calls", service)
			case svc.NonIdempotent[c.name]:
				p.fail(c.line, c.col, "call %q of service %q is already listed as nonidempotent", c.name, service)
			default:
				svc.NonIdempotent[c.name] = true
			}
		}
	}
}

// splitWords splits a line at spaces and tabs.
func splitWords(s string) []word {
	var words []word
	start := -1
	for i := 0; i <= len(s); i++ {
		if i < len(s) && s[i] != ' ' && s[i] != '\t' {
			if start < 0 {
				start = i
			}
			continue
		}
		if start >= 0 {
			words = append(words, word{
				text: s[start:i],
				col:  start + 1,
			})
			start = -1
		}
	}
	return words
}

func validName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
