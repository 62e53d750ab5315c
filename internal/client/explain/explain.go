// Package explain finds, in the logs of instances, what became of one request:
// its own lines, and the events of the same instance shortly before each.
package explain

// This file defines Write.

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	"camphorspoke/internal/world/fault"
)

const (
	// before is how far back an event counts, and maxEvents how many are shown.
	before    = 10 * time.Second
	maxEvents = 12
	maxLine   = 1 << 20
)

var (
	timeWord     = regexp.MustCompile(`time="([^"]+)"`)
	instanceWord = regexp.MustCompile(`instance=(\S+)`)
)

// line is one line of a log.
type line struct {
	text     string
	at       time.Time
	instance string
	request  bool
}

// Write prints what the logs say of the request named id; it fails when no line
// names it.
func Write(w io.Writer, id string, logs ...io.Reader) error {
	events := make(map[string][]line)
	found := false
	for _, log := range logs {
		in := bufio.NewScanner(log)
		in.Buffer(nil, maxLine)
		for in.Scan() {
			l, ok := read(in.Text())
			switch {
			case !ok:
			case !l.request:
				events[l.instance] = last(append(events[l.instance], l))
			case hasWord(l.text, "request="+id):
				found = true
				for _, e := range events[l.instance] {
					if l.at.Sub(e.at) <= before {
						fmt.Fprintln(w, "  before:", e.text)
					}
				}
				fmt.Fprintln(w, l.text)
			}
		}
		if err := in.Err(); err != nil {
			return fault.Wrap(fault.BadRequest, "log", err)
		}
	}
	if !found {
		return fault.New(fault.BadRequest, id, "no line names this request; was it sent to another instance, or left out (leftOut=)?")
	}
	return nil
}

// read takes a line of a log apart; false for what is none. What stands before
// the first word of a line, such as another program's time, is passed over.
func read(text string) (line, bool) {
	start := strings.Index(text, `time="`)
	if start < 0 {
		return line{}, false
	}
	text = text[start:]
	at := timeWord.FindStringSubmatch(text)
	instance := instanceWord.FindStringSubmatch(text)
	if at == nil || instance == nil {
		return line{}, false
	}
	t, err := time.Parse(time.RFC3339, at[1])
	if err != nil {
		return line{}, false
	}
	return line{
		text:     text,
		at:       t,
		instance: instance[1],
		request:  strings.Contains(text, " request="),
	}, true
}

func hasWord(text, word string) bool {
	for w := range strings.FieldsSeq(text) {
		if w == word {
			return true
		}
	}
	return false
}

// last keeps the newest events.
func last(events []line) []line {
	if len(events) > maxEvents {
		return events[len(events)-maxEvents:]
	}
	return events
}
