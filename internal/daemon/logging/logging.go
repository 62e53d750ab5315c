// Package logging makes the log of a process.
package logging

// This file defines New.

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes lines of text to w. Messages start with the
// name of the part that speaks, as in "control: leading term 3".
func New(w io.Writer, level logrus.Level, instance string) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return l.WithField("instance", instance)
}
