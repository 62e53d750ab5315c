// Package settings reads and checks the settings of a daemon: flags, or
// environment variables with the prefix CAMPHORD_.
package settings

// This file defines Settings.

import (
	"flag"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"camphorspoke/internal/world/fault"
)

// Settings are the checked settings of a daemon.
type Settings struct {
	Instance      string
	FailureDomain string
	// Listen, PeerListen and ControlListen are addresses as host:port, by
	// which others reach this instance.
	Listen        string
	PeerListen    string
	ControlListen string
	// Control holds the addresses of the control replicas, by name.
	Control     map[string]string
	DataDir     string
	PlatformURL string
	LogLevel    logrus.Level
	DrainLimit  time.Duration
	// OrdersPerSecond paces engine orders that read the weight store.
	OrdersPerSecond float64
	ShowVersion     bool

	// Entry is set on an entry instance of the users' platform, where callers
	// speak another dialect than Connect.
	Entry Entry
}

// Entry are the settings of an entry instance of the users' platform.
type Entry struct {
	// Front is where callers connect; empty for an instance that is no such
	// entry. Ready, Directory and Operator serve the platform's other calls.
	Front     string
	Ready     string
	Directory string
	Operator  string
	// Metrics is where metrics are read; empty serves them at Listen only.
	Metrics string
	// Seeds and PeerSeeds are the control and the peer addresses of some
	// instances by which the others are found.
	Seeds     []string
	PeerSeeds []string
	// FirstStart allows the seeds to form a new control group.
	FirstStart bool
	// Voters is how many voters the control group wants.
	Voters int
	// List is the address of the platform's list.
	List string
	// MemoryMB is the most memory, in MB, before the process is ended; zero is no limit.
	MemoryMB int
	// Cores is how many cores the process may use.
	Cores int
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RevokeAfter is when a key that was taken away must have stopped working.
	RevokeAfter time.Duration
	// Bound is the multiple of the mean load that a backend server may carry.
	Bound float64
	// RetryRatio, RetrySlack and RetryWindow bound the repeats at a service,
	// over all instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

const examples = `
Examples:
  camphord -instance e1 -failure-domain terrace -listen 127.0.0.1:7101 \
    -peer-listen 127.0.0.1:7201 -control r1=127.0.0.1:7301 -platform http://127.0.0.1:7900
  camphord ... -control-listen 127.0.0.1:7301 -data-dir /var/lib/camphord    (a control replica)

Exit codes: 0 stopped gracefully, 1 failed while running, 2 wrong settings.
`

// raw holds the settings as they were given.
type raw struct {
	control, logLevel string
	seeds, ports, ip  string
	lossesBorne       int
	graceS, windowS   float64
	revokeMs          int
}

// Parse reads the settings from args and the environment.
func Parse(args []string) (*Settings, error) {
	s := &Settings{}
	var r raw
	fs := flag.NewFlagSet("camphord", flag.ContinueOnError)
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Listen, "listen", "", "address for callers and operators, host:port")
	fs.StringVar(&s.PeerListen, "peer-listen", "", "address for other routers, host:port")
	fs.StringVar(&s.ControlListen, "control-listen", "", "address of this control replica, host:port; needed with -data-dir")
	fs.StringVar(&r.control, "control", "", "control replicas, name=host:port,...")
	fs.StringVar(&s.DataDir, "data-dir", "", "data folder; set on control replicas only")
	fs.StringVar(&s.PlatformURL, "platform", "", "base URL of the platform's list")
	fs.StringVar(&r.logLevel, "log-level", "info", "debug, info, warning or error")
	fs.DurationVar(&s.DrainLimit, "drain-limit", 10*time.Minute, "longest planned stop; requests still in flight then are cut")
	fs.Float64Var(&s.OrdersPerSecond, "orders-per-second", 2, "pace of engine orders that read the weight store")
	fs.BoolVar(&s.ShowVersion, "version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "camphord routes chats to model engines and plain services.\n\nFlags (or CAMPHORD_NAME in the environment):")
		fs.PrintDefaults()
		fmt.Fprint(fs.Output(), examples)
	}
	s.Entry.flags(fs, &r)
	fs.String("config", "", "file of settings, a flag and its value a line")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("CAMPHORD"), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser)); err != nil {
		return nil, err
	}
	if s.ShowVersion {
		return s, nil
	}
	if fs.NArg() > 0 {
		return nil, bad("arguments", fs.Arg(0), "only flags")
	}
	if s.Entry.Front != "" {
		if err := s.deriveEntry(r); err != nil {
			return nil, err
		}
	}
	return s, s.check(r)
}

func bad(flagName, value, accepted string) error {
	return &fault.Fault{
		Kind:    fault.BadSetting,
		Subject: "-" + flagName + "=" + value,
		Advice:  "accepted: " + accepted,
	}
}

func (s *Settings) check(r raw) error {
	for _, n := range []struct{ flag, value string }{
		{"instance", s.Instance},
		{"failure-domain", s.FailureDomain},
	} {
		if n.value == "" || len(n.value) > 64 || strings.ContainsAny(n.value, " =,:#\n") {
			return bad(n.flag, n.value, "a name of 1 to 64 bytes without blanks, '=', ',', ':' or '#'")
		}
	}
	for _, a := range []struct{ flag, value string }{
		{"listen", s.Listen},
		{"peer-listen", s.PeerListen},
	} {
		if !isAddress(a.value) {
			return bad(a.flag, a.value, "an IP number and port, such as 127.0.0.1:7101")
		}
	}
	if u, err := url.Parse(s.PlatformURL); s.Entry.Front == "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		return bad("platform", s.PlatformURL, "a URL such as http://127.0.0.1:7900")
	}
	level, err := logrus.ParseLevel(r.logLevel)
	if err != nil {
		return bad("log-level", r.logLevel, "debug, info, warning or error")
	}
	s.LogLevel = level
	if s.DrainLimit < time.Second || s.DrainLimit > 24*time.Hour {
		return bad("drain-limit", s.DrainLimit.String(), "1s to 24h")
	}
	if s.OrdersPerSecond <= 0 || s.OrdersPerSecond > 1000 {
		return bad("orders-per-second", fmt.Sprint(s.OrdersPerSecond), "more than 0, at most 1000")
	}
	if s.Entry.Front == "" {
		if err := s.checkControl(r.control); err != nil {
			return err
		}
	}
	return s.checkDataDir()
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

func (s *Settings) checkControl(list string) error {
	const accepted = "1 to 7 replicas, an odd number, as name=host:port,..."
	s.Control = make(map[string]string)
	for part := range strings.SplitSeq(list, ",") {
		name, addr, ok := strings.Cut(part, "=")
		if !ok || name == "" || !isAddress(addr) || s.Control[name] != "" {
			return bad("control", list, accepted)
		}
		s.Control[name] = addr
	}
	if n := len(s.Control); n > 7 || n%2 == 0 {
		return bad("control", list, accepted)
	}
	return nil
}

func (s *Settings) checkDataDir() error {
	if s.DataDir == "" {
		if s.ControlListen != "" {
			return bad("control-listen", s.ControlListen, "nothing without -data-dir: only a control replica listens there")
		}
		return nil
	}
	if !isAddress(s.ControlListen) {
		return bad("control-listen", s.ControlListen, "an IP number and port, such as 127.0.0.1:7301")
	}
	if a, ok := s.Control[s.Instance]; ok && a != s.ControlListen {
		return bad("control-listen", s.ControlListen, "the address that -control gives for "+s.Instance+", "+a)
	}
	if !filepath.IsAbs(s.DataDir) {
		return bad("data-dir", s.DataDir, "an absolute path")
	}
	if st, err := os.Stat(s.DataDir); err == nil && !st.IsDir() {
		return bad("data-dir", s.DataDir, "a folder")
	}
	return nil
}
