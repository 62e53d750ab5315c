package parse

// This file defines settings, the parsed key=value words of one rule.

import (
	"strconv"
	"strings"
	"time"
)

// settings holds the values of one rule that were not read yet, by key.
type settings struct {
	p      *parser
	values map[string]word
	// end is the column after the last word, at which missing settings are reported.
	end int
}

// settings parses the words after the name of a rule. end is the column after the
// name. It returns false after a syntax error or a duplicate key.
func (p *parser) settings(words []word, end int) (*settings, bool) {
	s := &settings{
		p:      p,
		values: make(map[string]word),
		end:    end,
	}
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		if !ok || key == "" || value == "" {
			p.fail(p.line, w.col, "expected key=value, found %q", w.text)
			return nil, false
		}
		if _, dup := s.values[key]; dup {
			p.fail(p.line, w.col, "%s= is given twice", key)
			return nil, false
		}
		s.values[key] = word{
			text: value,
			col:  w.col + len(key) + 1,
		}
		s.end = w.col + len(w.text)
	}
	return s, true
}

// take removes a value and returns it.
func (s *settings) take(key string) (word, bool) {
	w, ok := s.values[key]
	delete(s.values, key)
	return w, ok
}

func (s *settings) fail(col int, format string, args ...any) {
	s.p.fail(s.p.line, col, format, args...)
}

// discard drops the remaining settings of a rule that is rejected as a whole, so that
// reportUnknown does not report them.
func (s *settings) discard() { clear(s.values) }

// reportUnknown reports the settings that were not read.
func (s *settings) reportUnknown() {
	for key, w := range s.values {
		s.fail(w.col-len(key)-1, "unknown setting %s=", key)
	}
}

// choice returns a value that must be one of allowed. An empty default makes the key
// required.
func (s *settings) choice(key, def string, allowed ...string) string {
	w, ok := s.take(key)
	if !ok {
		if def == "" {
			s.fail(s.end, "%s= is missing: use %s", key, strings.Join(allowed, ", "))
		}
		return def
	}
	for _, a := range allowed {
		if w.text == a {
			return a
		}
	}
	s.fail(w.col, "%s=%s: use %s", key, w.text, strings.Join(allowed, ", "))
	return def
}

// integer parses a whole number from low to high. A negative default makes the key
// required.
func (s *settings) integer(key string, def, low, high int) int {
	w, ok := s.take(key)
	if !ok {
		if def < 0 {
			s.fail(s.end, "%s= is missing", key)
		}
		return def
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || n < low || n > high {
		s.fail(w.col, "%s=%s: use a whole number from %d to %d", key, w.text, low, high)
		return def
	}
	return n
}

func (s *settings) float(key string, def, low, high float64) float64 {
	w, ok := s.take(key)
	if !ok {
		return def
	}
	f, err := parseFloat(w.text)
	if err != nil || !finite(f) || f < low || f > high {
		s.fail(w.col, "%s=%s: use a number from %g to %g", key, w.text, low, high)
		return def
	}
	return f
}

func (s *settings) duration(key string, def, low, high time.Duration) time.Duration {
	w, ok := s.take(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(w.text)
	if err != nil || d < low || d > high {
		s.fail(w.col, "%s=%s: use a duration from %s to %s", key, w.text, low, high)
		return def
	}
	return d
}

func (s *settings) percent(key string, def int) int {
	w, ok := s.take(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(strings.TrimSuffix(w.text, "%"))
	if err != nil || !strings.HasSuffix(w.text, "%") || n < 0 || n > 100 {
		s.fail(w.col, "%s=%s: use 0%% to 100%%", key, w.text)
		return def
	}
	return n
}

// bytes parses a size with a binary unit.
func (s *settings) bytes(key string, def int64) int64 {
	w, ok := s.take(key)
	if !ok {
		return def
	}
	for _, u := range []struct {
		suffix string
		size   int64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		digits, found := strings.CutSuffix(w.text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 32)
		if err == nil && n >= 0 {
			return n * u.size
		}
	}
	s.fail(w.col, "%s=%s: use a whole number of KiB, MiB or GiB", key, w.text)
	return def
}
