package settings

// This file defines the settings of an entry instance of the users' platform.

import (
	"flag"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// The uses of the internal ports, from the first of them on.
const (
	controlPort = iota
	peerPort
	operatorPort
	portsNeeded
)

const (
	defaultGrace  = 8.0
	defaultWindow = 10.0
)

func (e *Entry) flags(fs *flag.FlagSet, r *raw) {
	fs.StringVar(&e.Front, "front", "", "address for callers of the users' platform; sets an entry instance, whose other addresses follow from -ip and -ports")
	fs.StringVar(&e.Ready, "ready", "", "address of the readiness check")
	fs.StringVar(&e.Directory, "directory", "", "address of the directory")
	fs.StringVar(&e.Operator, "operator", "", "address for the operator's configuration")
	fs.StringVar(&e.Metrics, "metrics", "", "address at which metrics are read")
	fs.StringVar(&r.ip, "ip", "", "IP number of this instance")
	fs.StringVar(&r.ports, "ports", "", "first and last port for traffic between instances, such as 7340,7355")
	fs.StringVar(&r.seeds, "seeds", "", "addresses of some instances of the control group; only the IP number counts")
	fs.BoolVar(&e.FirstStart, "first-start", false, "the whole system starts for the first time")
	fs.StringVar(&e.List, "list", "", "address of the platform's list")
	fs.IntVar(&e.MemoryMB, "memory-mb", 0, "memory limit of the process, in MB")
	fs.IntVar(&e.Cores, "cores", 0, "cores of the machine")
	fs.IntVar(&r.lossesBorne, "losses-borne", 1, "control replicas that may be lost at once")
	fs.Float64Var(&r.graceS, "grace-s", defaultGrace, "longest planned stop, in seconds")
	fs.IntVar(&r.revokeMs, "revoke-ms", 5000, "time after which a key that was taken away must not work, in milliseconds")
	fs.Float64Var(&e.Bound, "bound", 2, "multiple of the mean load that a backend server may carry")
	fs.Float64Var(&e.RetryRatio, "retry-ratio", 0.2, "repeats allowed for each request of a service")
	fs.Float64Var(&e.RetrySlack, "retry-slack", 50, "repeats allowed besides, in each window")
	fs.Float64Var(&r.windowS, "retry-window-s", defaultWindow, "window of the bound on repeats, in seconds")
}

// deriveEntry fills in what follows from the settings of an entry instance.
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
			return bad(a.flag, a.value, "an IP number and port, such as 10.1.0.19:8227")
		}
	}
	if e.Metrics != "" && !isAddress(e.Metrics) {
		return bad("metrics", e.Metrics, "an IP number and port, such as 10.1.0.19:9464")
	}
	if net.ParseIP(r.ip) == nil {
		return bad("ip", r.ip, "an IP number")
	}
	first, last, err := ports(r.ports)
	if err != nil {
		return err
	}
	if last-first+1 < portsNeeded {
		return bad("ports", r.ports, fmt.Sprintf("%d ports or more", portsNeeded))
	}
	at := func(ip string, use int) string { return net.JoinHostPort(ip, strconv.Itoa(first+use)) }
	s.PeerListen = at(r.ip, peerPort)
	s.Listen = at(r.ip, operatorPort)
	if s.DataDir != "" {
		s.ControlListen = at(r.ip, controlPort)
	}
	for seed := range strings.SplitSeq(r.seeds, ",") {
		host, _, err := net.SplitHostPort(strings.TrimSpace(seed))
		if err != nil || net.ParseIP(host) == nil {
			return bad("seeds", r.seeds, "IP numbers and ports, such as 10.1.0.19:8229,10.2.0.36:8229")
		}
		e.Seeds = append(e.Seeds, at(host, controlPort))
		e.PeerSeeds = append(e.PeerSeeds, at(host, peerPort))
	}
	if r.lossesBorne < 0 || r.lossesBorne > 3 {
		return bad("losses-borne", strconv.Itoa(r.lossesBorne), "0 to 3")
	}
	e.Voters = 2*max(r.lossesBorne, 1) + 1
	e.Grace = time.Duration(r.graceS * float64(time.Second))
	e.RevokeAfter = time.Duration(r.revokeMs) * time.Millisecond
	e.RetryWindow = time.Duration(r.windowS * float64(time.Second))
	return e.checkRanges()
}

func (e *Entry) checkRanges() error {
	switch {
	case e.Grace < time.Second || e.Grace > time.Hour:
		return bad("grace-s", e.Grace.String(), "1 to 3600")
	case e.RevokeAfter < time.Second || e.RevokeAfter > time.Hour:
		return bad("revoke-ms", e.RevokeAfter.String(), "1000 to 3600000")
	case e.RetryWindow < time.Second || e.RetryWindow > time.Hour:
		return bad("retry-window-s", e.RetryWindow.String(), "1 to 3600")
	case e.RetryRatio < 0 || e.RetryRatio > 10:
		return bad("retry-ratio", fmt.Sprint(e.RetryRatio), "0 to 10")
	case e.RetrySlack < 0:
		return bad("retry-slack", fmt.Sprint(e.RetrySlack), "0 or more")
	case e.Bound < 1:
		return bad("bound", fmt.Sprint(e.Bound), "1 or more")
	case e.MemoryMB < 0 || e.Cores < 0:
		return bad("memory-mb", strconv.Itoa(e.MemoryMB), "0 or more")
	}
	return nil
}

func ports(list string) (first, last int, err error) {
	a, b, ok := strings.Cut(list, ",")
	first, err1 := strconv.Atoi(strings.TrimSpace(a))
	last, err2 := strconv.Atoi(strings.TrimSpace(b))
	if !ok || err1 != nil || err2 != nil || first < 1 || last > 65535 || last < first {
		return 0, 0, bad("ports", list, "the first and the last port, such as 7340,7355")
	}
	return first, last, nil
}
