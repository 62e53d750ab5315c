package parse

// This file defines the parsing of route rules, of keys and of ingress limits.

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"camphorspoke/internal/rules/ruleset"
)

const (
	maxPriority = 1000
	maxAttempts = 100
	maxWeight   = 1_000_000_000
	maxTime     = 24 * time.Hour
	yes         = "yes"
	no          = "no"
)

// position is the position of a rule in the file.
type position struct {
	line, col int
}

func (p *parser) route(name word, s *settings) {
	r := ruleset.Route{
		Name:         name.text,
		Host:         strings.ToLower(s.percentDecoded("host")),
		Prefix:       s.percentDecoded("prefix"),
		Timeout:      s.duration("timeout", 0, time.Millisecond, maxTime),
		Objective:    s.duration("objective", 0, time.Millisecond, maxTime),
		GapObjective: s.duration("gap", 0, time.Millisecond, maxTime),
		Attempts:     s.integer("attempts", 1, 1, maxAttempts),
		Priority:     s.integer("priority", 0, 0, maxPriority),
		Public:       s.choice("public", no, no, yes) == yes,
		CacheAffine:  s.choice("affine", no, no, yes) == yes,
		Resumable:    s.choice("resume", no, no, yes) == yes,
	}
	switch s.choice("kind", "", "safe", "unsafe", "stream") {
	case "unsafe":
		r.Kind = ruleset.Unsafe
	case "stream":
		r.Kind = ruleset.Stream
	}
	if r.Timeout == 0 {
		s.fail(s.end, "timeout= is missing")
	}
	if r.Prefix != "" && (!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/")) {
		s.fail(name.col, "the prefix %q does not begin and end with a slash", r.Prefix)
	}
	r.Split = s.weightedServices("to")
	p.out.Routes = append(p.out.Routes, r)
	p.routePositions = append(p.routePositions, position{
		line: p.line,
		col:  name.col,
	})
}

// checkRoutes checks that each route refers to known services and that no two routes
// have the same host and prefix. It runs after all lines are parsed, so that a route
// may precede its service.
func (p *parser) checkRoutes() {
	type hostAndPrefix struct{ host, prefix string }
	seen := make(map[hostAndPrefix]string)
	for i, r := range p.out.Routes {
		pos := p.routePositions[i]
		for _, ws := range r.Split {
			if _, ok := p.out.Services[ws.Service]; !ok {
				p.fail(pos.line, pos.col, "route %q: service %q has no rule", r.Name, ws.Service)
			}
		}
		s := hostAndPrefix{
			host:   r.Host,
			prefix: r.Prefix,
		}
		if other, dup := seen[s]; dup {
			p.fail(pos.line, pos.col, "routes %q and %q have the same host and prefix", other, r.Name)
		}
		seen[s] = r.Name
	}
}

func (p *parser) ingress(s *settings) {
	p.out.Ingress = ruleset.Ingress{
		HeaderBytes: s.integer("header-bytes", 0, 1, 1<<30),
		BodyBytes:   s.integer("body-bytes", 0, 1, 1<<30),
		HeaderTime:  s.duration("header-time", 0, time.Millisecond, maxTime),
		IdleTime:    s.duration("idle-time", 0, time.Millisecond, maxTime),
	}
}

// keys parses the key digests of an account.
func (p *parser) keys(account string, s *settings) {
	w, ok := s.take("keys")
	if !ok {
		return
	}
	for digest := range strings.SplitSeq(w.text, ",") {
		if other, dup := p.out.AccountByKeyDigest[digest]; dup && other != account {
			p.fail(p.line, w.col, "accounts %q and %q share a key", other, account)
			return
		}
		p.out.AccountByKeyDigest[digest] = account
	}
}

// text returns a value unchanged, or def if the key is not set.
func (s *settings) text(key, def string) string {
	w, ok := s.take(key)
	if !ok {
		return def
	}
	return w.text
}

// percentDecoded returns the decoded value of a required, percent-encoded setting.
func (s *settings) percentDecoded(key string) string {
	w, ok := s.take(key)
	if !ok {
		s.fail(s.end, "%s= is missing", key)
		return ""
	}
	text, err := url.PathUnescape(w.text)
	if err != nil {
		s.fail(w.col, "%s=%s: bad percent-encoding", key, w.text)
	}
	return text
}

// weightedServices parses SERVICE[:WEIGHT],... ; the weights must not add up to zero.
func (s *settings) weightedServices(key string) []ruleset.WeightedService {
	w, ok := s.take(key)
	if !ok {
		s.fail(s.end, "%s= is missing", key)
		return nil
	}
	var out []ruleset.WeightedService
	total := 0
	for part := range strings.SplitSeq(w.text, ",") {
		name, weight, given := strings.Cut(part, ":")
		n := 1
		if given {
			var err error
			if n, err = strconv.Atoi(weight); err != nil || n < 0 || n > maxWeight {
				s.fail(w.col, "%s=%s: bad weight %q", key, w.text, weight)
				return nil
			}
		}
		total += n
		out = append(out, ruleset.WeightedService{
			Service: name,
			Weight:  n,
		})
	}
	if total == 0 {
		s.fail(w.col, "%s=%s: the weights add up to 0", key, w.text)
	}
	return out
}
