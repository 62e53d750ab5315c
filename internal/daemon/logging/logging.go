// Package logging makes the log of a process: one line of key=value words for
// each decision and each event, bounded in volume, that never blocks.
//
// Each message has a kind, its text. A kind that speaks more often than its
// rate loses lines, and the next line of that kind says how many were left out.
// Lines go through a buffer of their own; when the reader of the log does not
// read, lines are dropped, and their number is told once it reads again.
package logging

// This file defines New and the bounded formatter.

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// kindRate and kindBurst bound the lines of one kind, a second and at once.
	kindRate  = 100
	kindBurst = 300
	// maxKinds bounds the table of kinds; a text beyond it shares one kind.
	maxKinds = 256
)

// New returns a logger that writes lines of key=value words to w. Messages
// start with the name of the part that speaks, as in "control: leading term 3".
// The clean-up function writes what is buffered.
func New(w io.Writer, level logrus.Level, instance string) (logrus.FieldLogger, func()) {
	out := newWriter(w)
	l := logrus.New()
	l.SetOutput(out)
	l.SetLevel(level)
	l.SetFormatter(&bounded{
		inner: &logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		},
		kinds: make(map[string]*kind),
	})
	return l.WithField("instance", instance), out.close
}

// bounded leaves out lines of a kind that speaks too often.
type bounded struct {
	inner logrus.Formatter

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limit   *rate.Limiter
	leftOut int
}

// Format returns a line, or nothing for one that is left out.
func (b *bounded) Format(e *logrus.Entry) ([]byte, error) {
	leftOut, ok := b.allow(e.Message, e.Time)
	if !ok {
		return nil, nil
	}
	if leftOut > 0 {
		told := e.WithField("leftOut", leftOut)
		told.Level, told.Message, told.Time = e.Level, e.Message, e.Time
		e = told
	}
	return b.inner.Format(e)
}

func (b *bounded) allow(message string, now time.Time) (leftOut int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.kinds[message]
	if k == nil {
		if len(b.kinds) >= maxKinds {
			message = ""
			k = b.kinds[message]
		}
		if k == nil {
			k = &kind{
				limit: rate.NewLimiter(kindRate, kindBurst),
			}
			b.kinds[message] = k
		}
	}
	if !k.limit.AllowN(now, 1) {
		k.leftOut++
		return 0, false
	}
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}
