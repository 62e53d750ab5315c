// Package explain extracts the history of one request from the logs of
// instances: the lines of the request itself, and before each of them the
// recent events that the same instance logged.
package explain

// This file defines WriteHistory.

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	"camphorspoke/internal/base/fault"
)

const (
	// Before each line of the request, up to maxEvents events are printed that
	// were logged at most eventWindow earlier.
	eventWindow = 10 * time.Second
	maxEvents   = 12
	maxLine     = 1 << 20
)

var (
	timeField     = regexp.MustCompile(`time="([^"]+)"`)
	instanceField = regexp.MustCompile(`instance=(\S+)`)
)

// logLine is one parsed line of a log.
type logLine struct {
	text         string
	at           time.Time
	instance     string
	namesRequest bool
}

// WriteHistory prints the log lines of the request with the given id, each after
// the events that preceded it. It fails when no line has the id.
func WriteHistory(w io.Writer, id string, logs ...io.Reader) error {
	events := make(map[string][]logLine)
	found := false
	for _, log := range logs {
		in := bufio.NewScanner(log)
		in.Buffer(nil, maxLine)
		for in.Scan() {
			l, ok := parseLine(in.Text())
			switch {
			case !ok:
			case !l.namesRequest:
				events[l.instance] = newestEvents(append(events[l.instance], l))
			case hasWord(l.text, "request="+id):
				found = true
				for _, e := range events[l.instance] {
					if l.at.Sub(e.at) <= eventWindow {
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
		return fault.New(fault.BadRequest, id, "no log line has this request id; the request may be in the log of another instance, or its line was suppressed (leftOut=)")
	}
	return nil
}

// parseLine parses a line of a log and returns false if it isn't one. It skips
// anything before the time field, such as a prefix that another program added.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, `time="`)
	if start < 0 {
		return logLine{}, false
	}
	text = text[start:]
	at := timeField.FindStringSubmatch(text)
	instance := instanceField.FindStringSubmatch(text)
	if at == nil || instance == nil {
		return logLine{}, false
	}
	t, err := time.Parse(time.RFC3339, at[1])
	if err != nil {
		return logLine{}, false
	}
	return logLine{
		text:         text,
		at:           t,
		instance:     instance[1],
		namesRequest: strings.Contains(text, " request="),
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

// newestEvents returns the last maxEvents events.
func newestEvents(events []logLine) []logLine {
	if len(events) > maxEvents {
		return events[len(events)-maxEvents:]
	}
	return events
}
