package fleet

// This file defines how single daemons are cut off from all runners: the proxy before each runner
// resets their connections, and those that they open.

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// cutListener is the proxy before a runner, in one process with it: it accepts the connections of all
// daemons and resets those of the ones that are cut off.
type cutListener struct {
	net.Listener
	fleet *Fleet
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.fleet.cuts.any() {
			l.fleet.cuts.add(c)
			return c, nil
		}
		if d := l.fleet.owner(c); d != nil && l.fleet.cuts.contains(d) {
			reset(c)
			continue
		}
		l.fleet.cuts.add(c)
		return c, nil
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cutSet holds the daemons that are cut off, and the connections that the runners have accepted.
type cutSet struct {
	mu      sync.Mutex
	daemons map[*Daemon]bool
	conns   []net.Conn
}

func (s *cutSet) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.daemons) > 0
}

func (s *cutSet) contains(d *Daemon) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[d]
}

func (s *cutSet) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// Cut cuts daemons off from all runners; none ends the cut.
func (f *Fleet) Cut(daemons ...*Daemon) {
	f.cuts.mu.Lock()
	f.cuts.daemons = make(map[*Daemon]bool)
	for _, d := range daemons {
		f.cuts.daemons[d] = true
	}
	conns := f.cuts.conns
	f.cuts.mu.Unlock()
	if len(daemons) == 0 {
		return
	}
	for _, c := range conns {
		if d := f.owner(c); d != nil && f.cuts.contains(d) {
			reset(c)
		}
	}
}

// owner returns the daemon at the other end of a connection, by the inode of its socket; nil if there is
// none.
func (f *Fleet) owner(c net.Conn) *Daemon {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return nil
	}
	for _, d := range f.Daemons {
		if d.holds("socket:[" + inode + "]") {
			return d
		}
	}
	return nil
}

// holds reports whether a descriptor of the process is a file of this name.
func (d *Daemon) holds(name string) bool {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(folder + "/" + e.Name()); err == nil && target == name {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket with a local and a remote address.
func socketInode(local, remote *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	want := hexAddress(local) + " " + hexAddress(remote)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1]+" "+fields[2] == want {
			return fields[9]
		}
	}
	return ""
}

// hexAddress returns an address as /proc/net/tcp has it.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
