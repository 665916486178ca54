package httpanswer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// HeadReader reads from a connection. It passes a head on once the whole of it has arrived and been found to be one, and
// everything else as it comes. Folded lines, control bytes in a reason phrase, and a length beside chunks pass: RFC 9112
// says how they are read. HeadReader is safe for use by one reader beside calls of Expect.
type HeadReader struct {
	r     io.Reader
	limit int

	mu sync.Mutex
	// received holds bytes that have not been passed on. The first ready ones may be.
	received []byte
	ready    int
	// expecting says that a head is due at ready. lineStart is the start of its first line that has not been checked.
	expecting bool
	lineStart int
	head      headCheck
	// noHead says why what has arrived is no head. readErr is the error of the last read.
	noHead, readErr error
}

// NewHeadReader returns a HeadReader of r that takes heads of at most limit bytes.
func NewHeadReader(r io.Reader, limit int) *HeadReader { return &HeadReader{r: r, limit: limit} }

// Expect says that the next bytes are the head of an answer, with interim ones before it. unread are bytes that were read and
// are to be read again, before all others.
func (h *HeadReader) Expect(unread []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(bytes.Clone(unread), h.received...)
	h.expecting, h.ready, h.lineStart, h.head = true, 0, 0, headCheck{}
}

// Buffered returns the number of bytes that have arrived and not been passed on.
func (h *HeadReader) Buffered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.received)
}

// Read implements io.Reader. It returns an *Error in place of a head that is none.
func (h *HeadReader) Read(p []byte) (int, error) {
	for {
		if n, err := h.pass(p); n > 0 || err != nil {
			return n, err
		}
		n, err := h.r.Read(p)
		if direct := h.add(p[:n], err); direct {
			return n, err
		}
	}
}

// pass copies bytes that may be passed on to p. Without any it returns the error that has come in their place.
func (h *HeadReader) pass(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.expecting && h.ready == 0 && h.noHead == nil {
		h.noHead = h.checkLines()
	}
	if !h.expecting {
		h.ready = len(h.received)
	}
	switch {
	case h.ready > 0:
	case h.noHead != nil:
		return 0, h.noHead
	default:
		return 0, h.readErr
	}
	n := copy(p, h.received[:h.ready])
	h.received, h.ready, h.lineStart = h.received[n:], h.ready-n, max(0, h.lineStart-n)
	if len(h.received) == 0 {
		h.received = nil
	}
	return n, nil
}

// add takes up what was read. It reports whether that can be passed on as it is.
func (h *HeadReader) add(p []byte, err error) (direct bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.expecting {
		return true
	}
	h.received = append(h.received, p...)
	if errors.Is(err, io.EOF) && len(h.received) > 0 {
		err = io.ErrUnexpectedEOF
	}
	h.readErr = err
	return false
}

// checkLines checks the lines of the head that have arrived. At its end it lets it pass.
func (h *HeadReader) checkLines() error {
	for {
		length := bytes.IndexByte(h.received[h.lineStart:], '\n')
		if length < 0 {
			if len(h.received) >= h.limit {
				return &Error{EndlessHead, fmt.Sprintf("no end within %d bytes", h.limit)}
			}
			return nil
		}
		line := bytes.TrimSuffix(h.received[h.lineStart:h.lineStart+length], []byte{'\r'})
		h.lineStart += length + 1
		ended, err := h.head.next(line)
		if err != nil {
			return err
		}
		if ended {
			h.ready, h.expecting = h.lineStart, h.head.interim
			h.head = headCheck{}
			return nil
		}
	}
}

// headCheck checks a head line by line.
type headCheck struct {
	lines int
	// http10 says that the version is HTTP/1.0, interim that another head follows, encoding that there is a
	// Transfer-Encoding.
	http10, interim, encoding bool
}

// next checks the next line, and reports whether the head ends with it.
func (c *headCheck) next(line []byte) (ended bool, err error) {
	c.lines++
	switch {
	case c.lines == 1:
		return false, c.checkStatusLine(string(line))
	case len(line) == 0:
		return true, c.checkFraming()
	case line[0] == ' ' || line[0] == '\t':
		// It goes on with the value of the line before.
		if c.lines == 2 {
			return false, badName(line)
		}
		return false, nil
	}
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return false, badName(line)
	}
	c.encoding = c.encoding || strings.EqualFold(string(name), "Transfer-Encoding")
	return false, nil
}

const (
	versionPrefix = "HTTP/1."
	versionLength = len(versionPrefix) + 1
	statusDigits  = 3
)

func (c *headCheck) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(version) != versionLength || !strings.HasPrefix(version, versionPrefix) || len(digits) != statusDigits {
		return badStatusLine(line)
	}
	status, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || status < minStatus || status > maxStatus {
		return badStatusLine(line)
	}
	c.http10 = version == "HTTP/1.0"
	c.interim = status < minFinalStatus
	if c.interim && !isKnownInterim(int(status)) {
		return &Error{UnaskedInterim, "status " + digits}
	}
	return nil
}

func badStatusLine(line string) error {
	return &Error{BadStatus, strconv.Quote(line[:min(len(line), maxQuotedDetail)])}
}

// isKnownInterim reports whether another head follows one with the status. After any other, what follows is unknown.
func isKnownInterim(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}

// checkFraming refuses chunks of HTTP/1.0, which doesn't have them: net/http would pass their framing on as the body.
func (c *headCheck) checkFraming() error {
	if c.http10 && c.encoding {
		return &Error{BadFraming, "Transfer-Encoding in HTTP/1.0"}
	}
	return nil
}
