package httpanswer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// End is how a connection stands from whose other end no more bytes come.
type End string

// The ends of connections.
const (
	// Ordered means that the other end has closed its direction.
	Ordered End = "ordered"
	// Gone means that there is no connection any more: it was reset, or it has failed, maybe after an ordered end.
	Gone End = "gone"
	// Unknown means that the kernel doesn't say.
	Unknown End = "unknown"
)

// EndOf returns how a connection stands from which io.EOF was read.
func EndOf(conn net.Conn) End {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return Unknown
	}
	end := Unknown
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case infoErr != nil:
		case info.State == unix.BPF_TCP_CLOSE:
			end = Gone
		default:
			end = Ordered
		}
	})
	if errors.Is(err, net.ErrClosed) {
		return Gone
	}
	return end
}
