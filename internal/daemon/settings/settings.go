// Package settings reads and validates the settings of a daemon. They come from
// flags, from environment variables with the prefix CAMPHORD_, or from the file
// that -config names.
package settings

// This file defines Settings, Parse and the validation.

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

	"camphorspoke/internal/base/fault"
)

// Settings holds the validated settings of a daemon.
type Settings struct {
	Instance      string
	FailureDomain string
	// Listen, PeerListen and ControlListen are the host:port addresses at which
	// this instance serves callers and operators, other instances, and other
	// control replicas.
	Listen        string
	PeerListen    string
	ControlListen string
	// Control maps the names of the control replicas to their addresses.
	Control map[string]string
	// DataDir is the data directory; it is set on control replicas only.
	DataDir string
	// PlatformURL is the base URL of the platform's list of backend servers.
	PlatformURL string
	LogLevel    logrus.Level
	// DrainLimit limits the duration of a planned stop; requests still in flight
	// then are cut off.
	DrainLimit time.Duration
	// OrdersPerSecond limits the rate of load orders to engines, which read from
	// the weight store.
	OrdersPerSecond float64
	ShowVersion     bool

	// Entry is set on an entry instance of the users' platform, whose callers
	// use the platform's protocol instead of Connect.
	Entry Entry
}

// Entry holds the settings of an entry instance of the users' platform.
type Entry struct {
	// Front is the address at which callers connect; it is empty on an instance
	// that is not an entry instance. Ready, Directory and Operator are the
	// addresses of the readiness check, the instance directory and the
	// operator's configuration.
	Front     string
	Ready     string
	Directory string
	Operator  string
	// Metrics is an additional address that serves metrics; if it is empty, only
	// Listen serves them.
	Metrics string
	// Seeds and PeerSeeds are the control and the peer addresses of some
	// instances, used to discover the others.
	Seeds     []string
	PeerSeeds []string
	// FirstStart allows the seeds to form a new control group.
	FirstStart bool
	// Voters is the intended number of voters in the control group.
	Voters int
	// List is the address of the platform's list of backend servers.
	List string
	// ListRate is the number of calls per second that the platform accepts from all
	// instances together for its list; zero means no limit.
	ListRate float64
	// LinkMbps is the bandwidth of this instance's link in Mbit/s; zero means that
	// it is unknown.
	LinkMbps float64
	// CPUShare is the share of a core that the process gets; zero means unknown.
	CPUShare float64
	// MemoryMB is the memory limit in MB, above which the process is killed; zero
	// means no limit.
	MemoryMB int
	// FileDescriptors is the number of descriptors that the process may open; zero means
	// no limit.
	FileDescriptors int
	// Cores is the number of processor cores that the process may use; zero keeps
	// the default of the Go runtime.
	Cores int
	// Grace is the grace period of a planned stop.
	Grace time.Duration
	// RevokeAfter is the time after which a revoked key must no longer be
	// accepted by any instance.
	RevokeAfter time.Duration
	// LoadBound limits the load of a backend server to this multiple of the mean
	// load.
	LoadBound float64
	// RetryRatio, RetrySlack and RetryWindow limit the retries at a service, over
	// all instances together: in each window, RetryRatio retries for each
	// request plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage and ColdSlack limit the requests that a cold server gets from all
	// instances together in any second: ColdOverage times the rate that it can take, plus
	// ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// HedgePercent limits the hedged requests of a service whose rule sets no limit, as a
	// percentage of its requests; zero means none.
	HedgePercent int
}

const examples = `
Examples:
  camphord -instance e1 -failure-domain terrace -listen 127.0.0.1:7101 \
    -peer-listen 127.0.0.1:7201 -control r1=127.0.0.1:7301 -platform http://127.0.0.1:7900
  camphord ... -control-listen 127.0.0.1:7301 -data-dir /var/lib/camphord    (a control replica)

Exit codes: 0 stopped gracefully, 1 failed while running, 2 invalid settings.
`

// raw holds flag values that Parse converts or combines before use.
type raw struct {
	control, logLevel    string
	seeds, ports, ip     string
	lossesBorne          int
	graceS, retryWindowS float64
	revokeMs             int
}

// Parse reads and validates the settings from args, the environment and the
// settings file. With -version, nothing else is validated.
func Parse(args []string) (*Settings, error) {
	s := &Settings{}
	var r raw
	fs := flag.NewFlagSet("camphord", flag.ContinueOnError)
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Listen, "listen", "", "address for callers and operators, host:port")
	fs.StringVar(&s.PeerListen, "peer-listen", "", "address for other instances, host:port")
	fs.StringVar(&s.ControlListen, "control-listen", "", "address of this control replica, host:port; needed with -data-dir")
	fs.StringVar(&r.control, "control", "", "control replicas, name=host:port,...")
	fs.StringVar(&s.DataDir, "data-dir", "", "data directory; set on control replicas only")
	fs.StringVar(&s.PlatformURL, "platform", "", "base URL of the platform's list of backend servers")
	fs.StringVar(&r.logLevel, "log-level", "info", "debug, info, warning or error")
	fs.DurationVar(&s.DrainLimit, "drain-limit", 10*time.Minute, "longest duration of a planned stop; requests still in flight then are cut off")
	fs.Float64Var(&s.OrdersPerSecond, "orders-per-second", 2, "rate limit for load orders to engines, which read from the weight store")
	fs.BoolVar(&s.ShowVersion, "version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "camphord routes chats to model engines and other requests to plain services.\n\nFlags (or CAMPHORD_NAME in the environment):")
		fs.PrintDefaults()
		fmt.Fprint(fs.Output(), examples)
	}
	s.Entry.registerFlags(fs, &r)
	fs.String("config", "", "settings file with one flag and its value per line")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("CAMPHORD"), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser)); err != nil {
		return nil, err
	}
	if s.ShowVersion {
		return s, nil
	}
	if fs.NArg() > 0 {
		return nil, invalid("arguments", fs.Arg(0), "flags only")
	}
	if s.Entry.Front != "" {
		if err := s.deriveEntry(r); err != nil {
			return nil, err
		}
	}
	return s, s.check(r)
}

// invalid returns a fault that names the flag, its value and what it accepts.
func invalid(flagName, value, accepted string) error {
	return &fault.Fault{
		Kind:    fault.BadSetting,
		Subject: "-" + flagName + "=" + value,
		Advice:  "accepted: " + accepted,
	}
}

// check validates the settings that all daemons have in common and sets LogLevel
// and Control.
func (s *Settings) check(r raw) error {
	for _, n := range []struct{ flag, value string }{
		{"instance", s.Instance},
		{"failure-domain", s.FailureDomain},
	} {
		if n.value == "" || len(n.value) > 64 || strings.ContainsAny(n.value, " =,:#\n") {
			return invalid(n.flag, n.value, "a name of 1 to 64 bytes without blanks, '=', ',', ':' or '#'")
		}
	}
	for _, a := range []struct{ flag, value string }{
		{"listen", s.Listen},
		{"peer-listen", s.PeerListen},
	} {
		if !isAddress(a.value) {
			return invalid(a.flag, a.value, "an IP address and port, such as 127.0.0.1:7101")
		}
	}
	if u, err := url.Parse(s.PlatformURL); s.Entry.Front == "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		return invalid("platform", s.PlatformURL, "a URL such as http://127.0.0.1:7900")
	}
	level, err := logrus.ParseLevel(r.logLevel)
	if err != nil {
		return invalid("log-level", r.logLevel, "debug, info, warning or error")
	}
	s.LogLevel = level
	if s.DrainLimit < time.Second || s.DrainLimit > 24*time.Hour {
		return invalid("drain-limit", s.DrainLimit.String(), "1s to 24h")
	}
	if s.OrdersPerSecond <= 0 || s.OrdersPerSecond > 1000 {
		return invalid("orders-per-second", fmt.Sprint(s.OrdersPerSecond), "more than 0, at most 1000")
	}
	if s.Entry.Front == "" {
		if err := s.parseControl(r.control); err != nil {
			return err
		}
	}
	return s.checkDataDir()
}

// isAddress reports whether a is an IP address and a port other than 0.
func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

// parseControl parses the list of control replicas, name=host:port,..., into
// Control.
func (s *Settings) parseControl(list string) error {
	const accepted = "1 to 7 replicas, an odd number, as name=host:port,..."
	s.Control = make(map[string]string)
	for part := range strings.SplitSeq(list, ",") {
		name, addr, ok := strings.Cut(part, "=")
		if !ok || name == "" || !isAddress(addr) || s.Control[name] != "" {
			return invalid("control", list, accepted)
		}
		s.Control[name] = addr
	}
	if n := len(s.Control); n > 7 || n%2 == 0 {
		return invalid("control", list, accepted)
	}
	return nil
}

// checkDataDir validates DataDir and ControlListen, which are set together.
func (s *Settings) checkDataDir() error {
	if s.DataDir == "" {
		if s.ControlListen != "" {
			return invalid("control-listen", s.ControlListen, "no address without -data-dir: only a control replica listens there")
		}
		return nil
	}
	if !isAddress(s.ControlListen) {
		return invalid("control-listen", s.ControlListen, "an IP address and port, such as 127.0.0.1:7301")
	}
	if a, ok := s.Control[s.Instance]; ok && a != s.ControlListen {
		return invalid("control-listen", s.ControlListen, "the address that -control gives for "+s.Instance+", "+a)
	}
	if !filepath.IsAbs(s.DataDir) {
		return invalid("data-dir", s.DataDir, "an absolute path")
	}
	if st, err := os.Stat(s.DataDir); err == nil && !st.IsDir() {
		return invalid("data-dir", s.DataDir, "a directory, not a file")
	}
	return nil
}
