package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/logging"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *syncBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *syncBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func TestLineFormat(t *testing.T) {
	var out syncBuffer
	log, flush := logging.New(&out, logrus.InfoLevel, "e1")
	log.WithField("request", "a1").Info("ingress: request ended")
	log.Debug("below the log level")
	flush()
	require.Contains(t, out.text(), `msg="ingress: request ended" instance=e1 request=a1`)
	require.Equal(t, 1, strings.Count(out.text(), "\n"))
}

// TestRateLimitPerMessage checks that a message above its rate limit is
// suppressed, that leftOut accounts for every suppressed line, and that other
// messages are not affected.
func TestRateLimitPerMessage(t *testing.T) {
	var out syncBuffer
	log, flush := logging.New(&out, logrus.InfoLevel, "e1")
	for i := range 5000 {
		log.WithField("n", i).Info("frequent")
	}
	log.Info("rare")
	time.Sleep(50 * time.Millisecond)
	log.Info("frequent")
	flush()
	frequent := strings.Count(out.text(), "msg=frequent")
	require.Less(t, frequent, 600)
	require.Equal(t, 1, strings.Count(out.text(), "msg=rare"))
	leftOut := 0
	for _, m := range regexp.MustCompile(`leftOut=(\d+)`).FindAllStringSubmatch(out.text(), -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		leftOut += n
	}
	require.Equal(t, 5001, frequent+leftOut, "lines written plus lines counted in leftOut")
}

// TestBlockedOutputDropsLines checks that logging does not block while the output
// is blocked, that the buffer stays bounded, and that the dropped lines are
// reported once the output accepts writes again.
func TestBlockedOutputDropsLines(t *testing.T) {
	r, w := io.Pipe()
	log, flush := logging.New(w, logrus.InfoLevel, "e1")
	start := time.Now()
	for i := range 50_000 {
		log.WithField("text", strings.Repeat("x", 200)).Info(fmt.Sprintf("message %d", i%200))
	}
	require.Less(t, time.Since(start), 10*time.Second)
	var out syncBuffer
	go io.Copy(&out, r)
	require.Eventually(t, func() bool { return strings.Contains(out.text(), "lines were dropped") }, 5*time.Second, 10*time.Millisecond)
	require.Less(t, len(out.text()), 4<<20)
	flush()
}

// TestCloseDoesNotHang checks that the clean-up function returns although the
// output is blocked.
func TestCloseDoesNotHang(t *testing.T) {
	_, w := io.Pipe()
	log, flush := logging.New(w, logrus.InfoLevel, "e1")
	log.Info("a")
	start := time.Now()
	flush()
	require.Less(t, time.Since(start), 2*time.Second)
}
