package parse

// This file defines settings, the key=value words of one rule.

import (
	"strconv"
	"strings"
	"time"
)

type settings struct {
	p      *parser
	values map[string]word
	// end is the column after the last word.
	end int
}

// settings reads the words after the name, which ends before column end.
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

func (s *settings) take(key string) (word, bool) {
	w, ok := s.values[key]
	delete(s.values, key)
	return w, ok
}

func (s *settings) fail(col int, format string, args ...any) {
	s.p.fail(s.p.line, col, format, args...)
}

// ignore drops the settings of a rule that is refused as a whole.
func (s *settings) ignore() { clear(s.values) }

// refuseRest reports the settings that no rule took.
func (s *settings) refuseRest() {
	for key, w := range s.values {
		s.fail(w.col-len(key)-1, "unknown setting %s=", key)
	}
}

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

// integer reads a whole number; a negative default makes the key required.
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
