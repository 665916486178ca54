package soak_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"geraniumstack.org/geraniumstack/standin/site"
)

// zones are the failure domains of a fleet that has two.
var zones = []string{site.DefaultZone, "south"}

// The second domain has as many daemons as the first, and one runner in southRunnerEvery, so that its daemons send
// requests to the other domain.
const southRunnerEvery = 4

// daemonZone returns the failure domain of a daemon by its index, runnerZone that of a runner by its number, which
// counts from 1.
func (f *fleet) daemonZone(i int) string {
	if f.with.domains {
		return zones[i%2]
	}
	return zones[0]
}

func (f *fleet) runnerZone(number int) string {
	if f.with.domains && number%southRunnerEvery == 0 {
		return zones[1]
	}
	return zones[0]
}

// cutDomains treats the links from the daemons of each domain to the runners of the other as drawn.
func cutDomains(rng *rand.Rand) fault {
	l, span := links[rng.IntN(len(links))], durationBetween(rng, leastSilence, 3*time.Second)
	to := [][]string{zones, zones[:1], zones[1:]}[rng.IntN(3)]
	return fault{description: fmt.Sprintf("links from elsewhere to runners in %v %v for %v", to, l, span), apply: func(f *fleet) {
		f.setFarLinks(to, l)
		time.Sleep(span)
		f.setFarLinks(to, linkUp)
	}}
}

// setFarLinks sets the links of runners in some domains to the daemons of other domains.
func (f *fleet) setFarLinks(to []string, l link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, zone := range to {
		f.farLinks[zone] = l
	}
	for _, b := range f.runners {
		if slices.Contains(to, b.zone) {
			b.proxy.far.set(l)
		}
	}
}

// isFar reports whether a daemon reaches a runner by way of the links between the domains.
func isFar(b *proxiedRunner, d *daemon) bool { return d.Zone != b.zone }

// isFarClient reports whether a connection to the proxy of a runner is from a daemon of another failure domain than
// the runner's. A daemon doesn't bind its connections to its own address, and gets runners' addresses from other
// daemons, so that neither tells the connection's daemon; the kernel's table of sockets does.
func (f *fleet) isFarClient(c net.Conn, zone string) bool {
	inode := clientInode(c)
	f.mu.Lock()
	daemons := f.daemons
	f.mu.Unlock()
	for _, d := range daemons {
		if d.Zone != zone && d.hasSocket(inode) {
			return true
		}
	}
	return false
}

// clientInode returns the inode of a connection's other end, which is on this machine; zero if it is closed. It asks
// for one socket only: the table of all sockets is long, and takes too long to read for each connection.
func clientInode(c net.Conn) uint32 {
	client, server := c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0
	}
	defer unix.Close(socket)
	const (
		// The sizes of nlmsghdr and inet_diag_req_v2, and where the answer has the inode (sock_diag(7)).
		headerSize, requestSize = 16, 56
		inodeAt                 = headerSize + 68
	)
	request := make([]byte, headerSize, headerSize+requestSize)
	binary.NativeEndian.PutUint32(request, headerSize+requestSize)
	binary.NativeEndian.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	request = append(request, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	request = binary.NativeEndian.AppendUint32(request, math.MaxUint32) // in all states
	request = binary.BigEndian.AppendUint16(request, uint16(client.Port))
	request = binary.BigEndian.AppendUint16(request, uint16(server.Port))
	for _, ip := range []net.IP{client.IP, server.IP} {
		request = append(request, ip.To4()...)
		request = append(request, make([]byte, net.IPv6len-net.IPv4len)...)
	}
	request = binary.NativeEndian.AppendUint32(request, 0)              // at any interface
	request = binary.NativeEndian.AppendUint64(request, math.MaxUint64) // without a cookie
	answer := make([]byte, 4096)
	if err := unix.Sendto(socket, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0
	}
	n, _, err := unix.Recvfrom(socket, answer, 0)
	if err != nil || n < inodeAt+4 || binary.NativeEndian.Uint16(answer[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[inodeAt:])
}

// hasSocket reports whether the daemon's current process has a socket.
func (d *daemon) hasSocket(inode uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if inode == 0 || d.cmd == nil || d.cmd.Process == nil {
		return false
	}
	dir, want := fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid), fmt.Sprintf("socket:[%d]", inode)
	// A process that has ended has no files, and a file that is closed meanwhile is not this socket.
	files, _ := os.ReadDir(dir)
	return slices.ContainsFunc(files, func(file os.DirEntry) bool {
		target, _ := os.Readlink(filepath.Join(dir, file.Name()))
		return target == want
	})
}

// countCrossings counts the runs of requests that callers sent to a daemon of another domain than the runner's, and
// those among them that met a cut between the domains.
func (f *fleet) countCrossings(runs map[string][]runnerRun) (crossed, cut int) {
	for id, list := range runs {
		a := f.attemptLog.byID[id]
		for _, run := range list {
			if !isFar(run.runner, f.daemonAt(a.daemonAddress)) {
				continue
			}
			crossed++
			if run.runner.proxy.far.cutOff.overlap(run.Received, a.ended) {
				cut++
			}
		}
	}
	return crossed, cut
}
