package httpanswer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
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

// Connection is a connection from which io.EOF was read.
type Connection interface {
	// End returns how it stood then.
	End() End
	// Written waits until nothing is being written to it any more, and returns the error of that. On a connection that
	// is gone, writes end at once.
	Written() error
}

// checkEnd returns an *Error if io.EOF, which was read from a connection, isn't the other end's word that its answer has
// ended.
//
// The kernel tells of a reset once: if a write has got the error, reads end with io.EOF. A write after an ordered end
// fails with EPIPE, and one that this side's own close has ended was told nothing; a write that failed otherwise was told of
// the end of a connection that had not been closed.
func checkEnd(c Connection) error {
	if c.End() != Gone {
		return nil
	}
	if err := c.Written(); err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) {
		return &Error{Reset, fmt.Sprintf("answer without a length, write: %v", err)}
	}
	return nil
}

// IsUnframed reports whether the body of an answer ends with its connection.
func IsUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// CheckBodyEnd returns an *Error if io.EOF, which was read from the body of an answer, isn't the end that the other end
// has given it, or if the trailer is none.
func CheckBodyEnd(r *http.Response, c Connection) error {
	if err := checkNames(r.Trailer); err != nil {
		return err
	}
	if !IsUnframed(r) {
		return nil
	}
	return checkEnd(c)
}
