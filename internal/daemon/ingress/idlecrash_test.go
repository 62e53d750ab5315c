package ingress_test

// This file tests streams at a server that has crashed while it had no request.

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/rules/parse"
)

// birth is the time of a server's start in Unix milliseconds.
type birth struct{ atomic.Int64 }

// ReadBirth returns the time of the start.
func (b *birth) ReadBirth(context.Context, string) (int64, error) { return b.Load(), nil }

// TestStreamIsNotTakenUpAtAServerThatCrashedIdle: a server crashes while no request is in progress there, and is
// back with another version of its software before any request tries it and before the list shows it. It
// guards against a stream that its caller takes up there, with events of two versions.
func TestStreamIsNotTakenUpAtAServerThatCrashedIdle(t *testing.T) {
	var listReadAt atomic.Int64
	server := newStoppableServer(t, versionedStream("v1"))
	server.born.Store(time.Now().Add(-time.Hour).UnixMilli())
	e := &testEnv{
		t: t,
	}
	e.startVersions(1, []string{"v1"}, []string{server.address})
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, stop := placer.New(placer.Config{
		Now:         e.handler.Now,
		LoadBound:   2,
		RetryWindow: e.retryWindow,
		RetryRatio:  e.retryRatio,
		RetrySlack:  e.retrySlack,
		Instance:    "i",
		Logger:      log,
		ListReadAt:  func() time.Duration { return time.Duration(listReadAt.Load()) },
		Births:      &server.born,
	})
	t.Cleanup(stop)
	engines := strings.Replace(ruleTextWithKey(), "service s type=plain", "service s type=engine slots=4 cache-tokens=100000", 1)
	f, err := parse.Rules("rules", []byte(engines))
	require.NoError(t, err)
	p.Update(e.membership.View().WithRules(2, []byte(engines), f))
	e.handler.Placer = p
	listReadAt.Store(int64(e.handler.Now()))

	_, body, err := e.do("/chat/", "Id", "first")
	require.Error(t, err, "the stream broke off")
	require.Equal(t, []string{"v1"}, versionsIn(body))
	time.Sleep(100 * time.Millisecond)

	server.stop()
	time.Sleep(300 * time.Millisecond)
	other := versionedStream("v2")
	server.respond.Store(&other)
	server.born.Store(time.Now().UnixMilli())
	server.start()
	// The list has been read meanwhile, and lags.
	listReadAt.Store(int64(e.handler.Now()))

	_, body, _ = e.do("/chat/", "Resumes", "first", "Last", "4")
	require.Empty(t, versionsIn(body), "the stream goes on at another version")
}
