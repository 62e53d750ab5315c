// Package logging provides the logger of a process. It writes one line of
// key=value pairs for each decision and event, bounds the volume and never
// blocks the caller.
//
// Lines are rate-limited by message text. Lines above the limit are suppressed,
// and the next line with the same text reports their number in the field
// leftOut. A separate goroutine writes the lines from a bounded buffer; when
// the buffer is full because the output is blocked, lines are dropped, and their
// number is logged once the output accepts writes again.
package logging

// This file defines New and the rate-limiting formatter.

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// messageRate (lines per second) and messageBurst (lines at once) limit the
	// lines that have the same message text.
	messageRate  = 100
	messageBurst = 300
	// maxMessageLimits bounds the number of texts that have a limit of their
	// own; all further texts share one limit.
	maxMessageLimits = 256
)

// New returns a logger that writes lines of key=value pairs to w. Messages
// start with the name of the component, as in "control: leading term 3". The
// clean-up function writes the buffered lines and stops the writer.
func New(w io.Writer, level logrus.Level, instance string) (logrus.FieldLogger, func()) {
	out := newWriter(w)
	l := logrus.New()
	l.SetOutput(out)
	l.SetLevel(level)
	l.SetFormatter(&rateLimitFormatter{
		inner: &logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		},
		limits: make(map[string]*messageLimit),
	})
	return l.WithField("instance", instance), out.close
}

// rateLimitFormatter suppresses lines whose message text exceeds its rate limit.
type rateLimitFormatter struct {
	inner logrus.Formatter

	mu sync.Mutex
	// limits is keyed by message text; the empty text holds the shared limit.
	limits map[string]*messageLimit
}

// messageLimit is the rate limit of one message text.
type messageLimit struct {
	limiter *rate.Limiter
	// suppressed counts the lines suppressed since the last one written.
	suppressed int
}

// Format returns the formatted line, or nil if the line is suppressed.
func (f *rateLimitFormatter) Format(e *logrus.Entry) ([]byte, error) {
	suppressed, ok := f.allow(e.Message, e.Time)
	if !ok {
		return nil, nil
	}
	if suppressed > 0 {
		annotated := e.WithField("leftOut", suppressed)
		annotated.Level, annotated.Message, annotated.Time = e.Level, e.Message, e.Time
		e = annotated
	}
	return f.inner.Format(e)
}

// allow reports whether a line with this message may be written now and, if so,
// how many lines were suppressed before it.
func (f *rateLimitFormatter) allow(message string, now time.Time) (suppressed int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.limits[message]
	if limit == nil {
		if len(f.limits) >= maxMessageLimits {
			message = ""
			limit = f.limits[message]
		}
		if limit == nil {
			limit = &messageLimit{
				limiter: rate.NewLimiter(messageRate, messageBurst),
			}
			f.limits[message] = limit
		}
	}
	if !limit.limiter.AllowN(now, 1) {
		limit.suppressed++
		return 0, false
	}
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}
