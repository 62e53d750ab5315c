package settings

// This file defines the flags of an entry instance of the users' platform and
// derives its addresses from them.

import (
	"flag"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Offsets of the ports for traffic between instances from the first port of
// -ports; portsRequired is their number.
const (
	controlPortOffset = iota
	peerPortOffset
	operatorPortOffset
	portsRequired
)

const (
	defaultGraceS       = 8.0
	defaultRetryWindowS = 10.0
	// maxCPUShare is the largest processor share that is accepted, in cores.
	maxCPUShare = 1024
	// maxColdOverage and maxColdSlack are the largest limits of a cold server.
	maxColdOverage = 1000
	maxColdSlack   = 1e6
)

// registerFlags defines the flags of an entry instance. Values that need conversion
// are stored in r.
func (e *Entry) registerFlags(fs *flag.FlagSet, r *raw) {
	fs.StringVar(&e.Front, "front", "", "address for callers of the users' platform; makes this an entry instance, whose other addresses are derived from -ip and -ports")
	fs.StringVar(&e.Ready, "ready", "", "listen address of the readiness check")
	fs.StringVar(&e.Directory, "directory", "", "listen address of the instance directory")
	fs.StringVar(&e.Operator, "operator", "", "listen address for the operator's configuration calls")
	fs.StringVar(&e.Metrics, "metrics", "", "listen address for metrics")
	fs.StringVar(&r.ip, "ip", "", "IP address of this instance")
	fs.StringVar(&r.ports, "ports", "", "first and last port for traffic between instances, such as 7340,7355")
	fs.StringVar(&r.seeds, "seeds", "", "addresses of some instances, through which the control group is found; their ports are ignored")
	fs.BoolVar(&e.FirstStart, "first-start", false, "the whole system starts for the first time: allow the seeds to form a new control group")
	fs.StringVar(&e.List, "list", "", "address of the platform's list of backend servers")
	fs.Float64Var(&e.ListRate, "list-rate", 0, "calls per second that the platform accepts for its list, from all instances together; 0 means no limit")
	fs.Float64Var(&e.CPUShare, "cpu-share", 0, "processor share of this instance, in cores; 0 means unknown")
	fs.Float64Var(&e.LinkMbps, "link-mbps", 0, "bandwidth of the link of this instance, in Mbit/s; 0 means unknown")
	fs.IntVar(&e.MemoryMB, "memory-mb", 0, "memory limit of the process, in MB")
	fs.IntVar(&e.FileDescriptors, "file-descriptors", 0, "number of file descriptors that the process may open; 0 means no limit")
	fs.IntVar(&e.Cores, "cores", 0, "number of processor cores that the process may use")
	fs.IntVar(&r.lossesBorne, "losses-borne", 1, "number of control replicas that may fail at the same time")
	fs.Float64Var(&r.graceS, "grace-s", defaultGraceS, "grace period of a planned stop, in seconds")
	fs.IntVar(&r.revokeMs, "revoke-ms", 5000, "time after which a revoked key must no longer be accepted, in milliseconds")
	fs.Float64Var(&e.LoadBound, "bound", 2, "bound on the load of a backend server, as a multiple of the mean load")
	fs.Float64Var(&e.RetryRatio, "retry-ratio", 0.2, "retries allowed for each request to a service")
	fs.Float64Var(&e.RetrySlack, "retry-slack", 50, "additional retries allowed to a service in each window")
	fs.IntVar(&e.HedgePercent, "hedge-percent", 0, "percentage of requests that may be hedged, at services whose rule sets none; 0 means off")
	fs.Float64Var(&r.retryWindowS, "retry-window-s", defaultRetryWindowS, "window of the retry limit, in seconds")
	fs.Float64Var(&e.ColdOverage, "cold-overage", 1.5, "bound on the requests that a cold server gets in a second, as a multiple of the rate that it can take")
	fs.Float64Var(&e.ColdSlack, "cold-slack", 5, "additional requests allowed to a cold server in a second")
}

// deriveEntry checks the flags of an entry instance and derives the other settings
// from them: the addresses, the number of voters and the durations.
func (s *Settings) deriveEntry(r raw) error {
	e := &s.Entry
	for _, a := range []struct{ flag, value string }{
		{"front", e.Front},
		{"ready", e.Ready},
		{"directory", e.Directory},
		{"operator", e.Operator},
		{"list", e.List},
	} {
		if !isAddress(a.value) {
			return invalid(a.flag, a.value, "an IP address and port, such as 10.1.0.19:8227")
		}
	}
	if e.Metrics != "" && !isAddress(e.Metrics) {
		return invalid("metrics", e.Metrics, "an IP address and port, such as 10.1.0.19:9464")
	}
	if net.ParseIP(r.ip) == nil {
		return invalid("ip", r.ip, "an IP address")
	}
	first, last, err := parsePorts(r.ports)
	if err != nil {
		return err
	}
	if last-first+1 < portsRequired {
		return invalid("ports", r.ports, fmt.Sprintf("%d ports or more", portsRequired))
	}
	addressAt := func(ip string, offset int) string { return net.JoinHostPort(ip, strconv.Itoa(first+offset)) }
	s.PeerListen = addressAt(r.ip, peerPortOffset)
	s.Listen = addressAt(r.ip, operatorPortOffset)
	if s.DataDir != "" {
		s.ControlListen = addressAt(r.ip, controlPortOffset)
	}
	for seed := range strings.SplitSeq(r.seeds, ",") {
		host, _, err := net.SplitHostPort(strings.TrimSpace(seed))
		if err != nil || net.ParseIP(host) == nil {
			return invalid("seeds", r.seeds, "IP addresses and ports, such as 10.1.0.19:8229,10.2.0.36:8229")
		}
		e.Seeds = append(e.Seeds, addressAt(host, controlPortOffset))
		e.PeerSeeds = append(e.PeerSeeds, addressAt(host, peerPortOffset))
	}
	if r.lossesBorne < 0 || r.lossesBorne > 3 {
		return invalid("losses-borne", strconv.Itoa(r.lossesBorne), "0 to 3")
	}
	e.Voters = 2*max(r.lossesBorne, 1) + 1
	e.Grace = time.Duration(r.graceS * float64(time.Second))
	e.RevokeAfter = time.Duration(r.revokeMs) * time.Millisecond
	e.RetryWindow = time.Duration(r.retryWindowS * float64(time.Second))
	return e.checkRanges()
}

// checkRanges validates the numeric settings.
func (e *Entry) checkRanges() error {
	switch {
	case e.Grace < time.Second || e.Grace > time.Hour:
		return invalid("grace-s", e.Grace.String(), "1 to 3600")
	case e.RevokeAfter < time.Second || e.RevokeAfter > time.Hour:
		return invalid("revoke-ms", e.RevokeAfter.String(), "1000 to 3600000")
	case e.RetryWindow < time.Second || e.RetryWindow > time.Hour:
		return invalid("retry-window-s", e.RetryWindow.String(), "1 to 3600")
	case e.RetryRatio < 0 || e.RetryRatio > 10:
		return invalid("retry-ratio", fmt.Sprint(e.RetryRatio), "0 to 10")
	case e.RetrySlack < 0:
		return invalid("retry-slack", fmt.Sprint(e.RetrySlack), "0 or more")
	case !(e.ColdOverage >= 1 && e.ColdOverage <= maxColdOverage):
		return invalid("cold-overage", fmt.Sprint(e.ColdOverage), "1 to 1000")
	case !(e.ColdSlack >= 0 && e.ColdSlack <= maxColdSlack):
		return invalid("cold-slack", fmt.Sprint(e.ColdSlack), "0 to 1000000")
	case e.HedgePercent < 0 || e.HedgePercent > 100:
		return invalid("hedge-percent", strconv.Itoa(e.HedgePercent), "0 to 100")
	case e.ListRate < 0:
		return invalid("list-rate", fmt.Sprint(e.ListRate), "0 or more")
	case e.CPUShare < 0 || e.CPUShare > maxCPUShare:
		return invalid("cpu-share", fmt.Sprint(e.CPUShare), "0 to 1024")
	case e.LinkMbps < 0:
		return invalid("link-mbps", fmt.Sprint(e.LinkMbps), "0 or more")
	case e.LoadBound < 1:
		return invalid("bound", fmt.Sprint(e.LoadBound), "1 or more")
	case e.FileDescriptors < 0:
		return invalid("file-descriptors", strconv.Itoa(e.FileDescriptors), "0 or more")
	case e.MemoryMB < 0 || e.Cores < 0:
		return invalid("memory-mb", strconv.Itoa(e.MemoryMB), "0 or more")
	}
	return nil
}

// parsePorts parses the value of -ports, the first and the last port.
func parsePorts(list string) (first, last int, err error) {
	a, b, ok := strings.Cut(list, ",")
	first, err1 := strconv.Atoi(strings.TrimSpace(a))
	last, err2 := strconv.Atoi(strings.TrimSpace(b))
	if !ok || err1 != nil || err2 != nil || first < 1 || last > 65535 || last < first {
		return 0, 0, invalid("ports", list, "the first and the last port, such as 7340,7355")
	}
	return first, last, nil
}
