package proctest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// Cut is how a Proxy treats the connections of processes that are cut off.
type Cut int

// The kinds of cuts.
const (
	CutNone  Cut = iota
	CutHang      // old and new connections are silent
	CutReset     // old and new connections are reset
	CutNew       // new connections are reset, old ones live on
)

// CutOff cuts the given processes off from the target until it is called again. Connections
// of others are not affected.
func (p *Proxy) CutOff(cut Cut, pids ...int) {
	p.mu.Lock()
	p.cut, p.cutPIDs = cut, pids
	var affected []*proxiedConn
	for conn := range p.conns {
		if cut != CutNone && cut != CutNew && owned(conn.client, pids) {
			affected = append(affected, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range affected {
		p.apply(cut, conn)
	}
}

// cutFor returns the cut that a new connection gets.
func (p *Proxy) cutFor(client net.Conn) Cut {
	p.mu.Lock()
	cut, pids := p.cut, p.cutPIDs
	p.mu.Unlock()
	if cut == CutNone || !owned(client, pids) {
		return CutNone
	}
	return cut
}

func (p *Proxy) apply(cut Cut, conn *proxiedConn) {
	switch cut {
	case CutHang:
		p.mu.Lock()
		conn.blackholed = true
		p.mu.Unlock()
	case CutReset, CutNew:
		resetConn(conn.client)
		conn.close()
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on error the connection is closed without a reset, which is a fault as well
	}
	_ = c.Close()
}

// owned reports whether the other end of a loopback connection belongs to a process.
func owned(c net.Conn, pids []int) bool {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return false
	}
	for _, pid := range pids {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // the pattern is valid
		for _, link := range links {
			if to, err := os.Readlink(link); err == nil && to == "socket:["+inode+"]" {
				return true
			}
		}
	}
	return false
}

// socketInode returns the inode of the IPv4 socket between two addresses, empty if there is
// none.
func socketInode(local, remote *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	want := [2]string{fmt.Sprintf(":%04X", local.Port), fmt.Sprintf(":%04X", remote.Port)}
	for sc := bufio.NewScanner(f); sc.Scan(); {
		fields := strings.Fields(sc.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], want[0]) && strings.HasSuffix(fields[2], want[1]) {
			return fields[9]
		}
	}
	return ""
}
