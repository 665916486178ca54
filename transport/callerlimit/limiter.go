// Package callerlimit applies the budgets of package callerbudget to requests and connections: it reads bodies as far as
// there is room for them, and ends those that the budgets choose.
package callerlimit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/segment"
)

const (
	// firstSegmentBytes and maxSegmentBytes are the sizes of the first piece into which a body is read, if it is not
	// known to be shorter, and of the largest; each piece is twice as long as the one before.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 32 << 10
	// decodedCopies is how many copies of its body a request takes while it is decoded, beside the one that was read.
	decodedCopies = 2
)

// Ended says what a request or connection that was ended for others held.
type Ended struct {
	// Held is the number of bytes of a request, Age the time since it began, or for which a connection has waited.
	Held int64
	Age  time.Duration
	// Used and Limit are the bytes, or connections, that all callers held, and the size of the budget.
	Used, Limit int64
}

// EndedError says that a request was ended for others while it was read.
type EndedError struct{}

func (*EndedError) Error() string { return "ended to make room for other requests" }

// Requests limits the bytes that requests hold. It is safe for concurrent use.
type Requests struct {
	start time.Time

	mu      sync.Mutex
	budget  *callerbudget.Bytes
	lastID  callerbudget.ID
	open    map[callerbudget.ID]*Request
	waiting int
	// released is closed, and replaced, when a request is released that others may wait for.
	released chan struct{}
}

// NewRequests returns a limiter of a number of bytes.
func NewRequests(limit int64) *Requests {
	return &Requests{start: time.Now(), budget: callerbudget.NewBytes(limit), open: map[callerbudget.ID]*Request{}, released: make(chan struct{})}
}

// Usage returns the bytes that all requests hold, and the size of the budget.
func (l *Requests) Usage() (used, limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Used(), l.budget.Limit()
}

// Request is what one request holds. It must be released at its end.
type Request struct {
	limiter *Requests
	id      callerbudget.ID
	end     func(Ended)
	// ended is guarded by the limiter.
	ended bool
	whole atomic.Bool
}

// Begin adds a request. If it is chosen to be ended, end is called once, without locks; it must make the reading of
// the request fail soon.
func (l *Requests) Begin(end func(Ended)) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	r := &Request{limiter: l, id: l.lastID, end: end}
	l.open[r.id] = r
	l.budget.Begin(l.now(), r.id)
	return r
}

func (l *Requests) now() time.Duration { return time.Since(l.start) }

// Identify records whose request it is.
func (r *Request) Identify(workspace ident.Workspace) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.budget.Identify(r.id, workspace)
}

// Whole records that the request has been read, so that it isn't ended any more. It returns false if it has been
// chosen to be ended already.
func (r *Request) Whole() bool {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.ended {
		return false
	}
	r.limiter.budget.Whole(r.id)
	r.whole.Store(true)
	return true
}

// ShrinkDecoded gives back what the request holds for the decoding of a body of n bytes.
func (r *Request) ShrinkDecoded(n int) {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Shrink(r.id, decodedCopies*int64(n))
	l.wake()
}

// BeginAnswer adds n bytes of an answer until EndAnswer, while the caller is sent them. Callers that don't read their
// answers may be ended for it, maybe this one.
func (r *Request) BeginAnswer(n int64) {
	l := r.limiter
	l.mu.Lock()
	ends := l.take(l.budget.BeginAnswer(l.now(), r.id, n))
	l.mu.Unlock()
	ends.run()
}

// EndAnswer gives the bytes back that BeginAnswer has added.
func (r *Request) EndAnswer() {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.EndAnswer(r.id)
	l.wake()
}

// IsWhole reports whether the request has been read.
func (r *Request) IsWhole() bool { return r.whole.Load() }

// Release gives back all that the request holds. It may be called more than once.
func (r *Request) Release() {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[r.id] == nil {
		return
	}
	delete(l.open, r.id)
	l.budget.Release(r.id)
	l.wake()
}

// wake lets the requests that wait for room try again. The caller must hold l.mu.
func (l *Requests) wake() {
	if l.waiting == 0 {
		return
	}
	l.waiting = 0
	close(l.released)
	l.released = make(chan struct{})
}

// Force gives the request n more bytes at once. Others may be ended for it.
func (r *Request) Force(n int64) {
	l := r.limiter
	l.mu.Lock()
	d := l.budget.Force(l.now(), r.id, n)
	ends := l.take(d.End)
	l.mu.Unlock()
	ends.run()
}

// Grow waits until the request has been given n more bytes. It returns an *EndedError if the request is ended for others,
// and an error that is os.ErrDeadlineExceeded if the deadline passes before.
func (r *Request) Grow(n int64, deadline time.Time) error {
	for {
		granted, released := r.tryGrow(n)
		switch {
		case granted:
			return nil
		case r.isEnded():
			return &EndedError{}
		case !waitUntil(released, deadline):
			return fmt.Errorf("wait for room: %w", os.ErrDeadlineExceeded)
		}
	}
}

// tryGrow gives the request n more bytes if there is room. If not, it is worth trying again once the channel is closed.
func (r *Request) tryGrow(n int64) (granted bool, released <-chan struct{}) {
	l := r.limiter
	l.mu.Lock()
	d := l.budget.Grow(l.now(), r.id, n)
	ends := l.take(d.End)
	released = l.released
	if !d.Granted {
		l.waiting++
	}
	l.mu.Unlock()
	ends.run()
	return d.Granted, released
}

func (r *Request) isEnded() bool {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	return r.ended
}

func waitUntil(event <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-event:
		return true
	case <-timer.C:
		return false
	}
}

// endings are calls that end requests.
type endings []func()

func (e endings) run() {
	for _, end := range e {
		end()
	}
}

// take marks requests as ended and returns the calls that end them. The caller must hold l.mu.
func (l *Requests) take(ids []callerbudget.ID) endings {
	var calls endings
	for _, id := range ids {
		r := l.open[id]
		r.ended = true
		held, since := l.budget.Held(id)
		ended := Ended{held, l.now() - since, l.budget.Used(), l.budget.Limit()}
		calls = append(calls, func() { r.end(ended) })
	}
	if len(ids) > 0 {
		// One of them may be waiting itself.
		l.wake()
	}
	return calls
}

// ReadBody reads a body until its end. length is the number of its bytes, negative if it isn't known. It holds what has
// arrived, whatever length says.
func (r *Request) ReadBody(body io.Reader, length int64, deadline time.Time) (segment.List, error) {
	var list segment.List
	size := int64(firstSegmentBytes)
	for read := int64(0); ; size = min(2*size, maxSegmentBytes) {
		if length >= 0 {
			size = min(size, length-read)
		}
		if length == read {
			return list, r.readEnd(body)
		}
		if err := r.Grow(size, deadline); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := readFull(body, piece)
		read += int64(n)
		if n > 0 {
			list = append(list, piece[:n])
		}
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, r.orEnded(err)
		}
	}
}

// ReadToDecode is ReadBody for a body that will be decoded at once. It adds what the decoding takes, and the request is
// whole.
func (r *Request) ReadToDecode(body io.Reader, length int64, deadline time.Time) (segment.List, error) {
	list, err := r.ReadBody(body, length, deadline)
	if err != nil {
		return nil, err
	}
	if err := r.Grow(decodedCopies*int64(list.Len()), deadline); err != nil {
		return nil, err
	}
	if !r.Whole() {
		return nil, &EndedError{}
	}
	return list, nil
}

// IsIncomplete reports whether an error of ReadBody says that the body was late or cut off.
func IsIncomplete(err error) bool {
	var connection *net.OpError
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &connection)
}

// readEnd reads the end of a body of which all bytes have been read.
func (r *Request) readEnd(body io.Reader) error {
	var more [1]byte
	if _, err := readFull(body, more[:]); !errors.Is(err, io.EOF) {
		return r.orEnded(err)
	}
	return nil
}

// orEnded returns an *EndedError in place of the error that the ending of the request has caused.
func (r *Request) orEnded(err error) error {
	if r.isEnded() {
		return &EndedError{}
	}
	return err
}

// readFull is io.ReadFull, but returns the reader's own error, also the one at its end.
func readFull(body io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = body.Read(p[n:])
		n += m
	}
	return n, err
}
