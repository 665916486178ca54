package bed

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// cuttable is the listener of a runner. While a daemon is cut off, its channels to the runner are reset.
type cuttable struct {
	net.Listener
	bed *Bed

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *cuttable) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.bed.mu.Lock()
		off := l.bed.cutOff
		l.bed.mu.Unlock()
		if off != nil && off.owns(conn, sockets()) {
			reset(conn)
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
		return conn, nil
	}
}

// reset resets the channels of a daemon.
func (l *cuttable) reset(d *Daemon, table map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []net.Conn
	for _, conn := range l.conns {
		switch {
		case table[ends(conn)] == "":
			// It has ended.
		case d.owns(conn, table):
			reset(conn)
		default:
			others = append(others, conn)
		}
	}
	l.conns = others
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The channel may have ended.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// Cut resets a daemon's channels to all runners, and goes on to do so until Heal.
func (b *Bed) Cut(d *Daemon) {
	b.mu.Lock()
	b.cutOff = d
	b.mu.Unlock()
	table := sockets()
	for _, r := range b.Runners {
		r.listener.reset(d, table)
	}
}

// Heal ends Cut.
func (b *Bed) Heal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutOff = nil
}

// owns reports whether the other end of a channel is the daemon's. Daemons don't bind their channels to their own address,
// so the kernel's table of sockets is asked.
func (d *Daemon) owns(conn net.Conn, table map[string]string) bool {
	inode := table[ends(conn)]
	if inode == "" {
		return false
	}
	folder := fmt.Sprintf("/proc/%d/fd", d.PID())
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// sockets returns the inodes of all open sockets of this machine by their ends.
func sockets() map[string]string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	inodes := map[string]string{}
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > 9 && f[9] != "0" {
			inodes[f[1]+" "+f[2]] = f[9]
		}
	}
	return inodes
}

// ends returns the ends of the socket at the other end of a channel, as the kernel's table writes them.
func ends(conn net.Conn) string {
	return tableAddress(conn.RemoteAddr()) + " " + tableAddress(conn.LocalAddr())
}

// tableAddress writes an address as the kernel's table does.
func tableAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
