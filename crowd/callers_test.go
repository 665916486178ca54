package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// sendWithin is how long a caller of a crowd tries to send; then it stays with what it has sent.
	sendWithin = 6 * time.Second
	// returns is how often a caller whose connection was closed opens another one.
	returns = 3
	// dripInterval is the time between two bytes of a caller that sends slowly.
	dripInterval = 100 * time.Millisecond
	// statedTimeout is how long callers of a crowd say that they wait.
	statedTimeout = 10 * time.Minute
)

// crowd describes callers that all do the same.
type crowd struct {
	size int
	// method, path and key are those of the requests. framing is the header line that says how long the body is.
	method, path, key, framing string
	// head replaces all of that unless it is empty.
	head string
	// body is sent as it is, total bytes of it, again and again.
	body  []byte
	total int
	// drips says that the callers go on with a chunk of one byte now and then, deaf that they read no answer.
	drips, deaf bool
}

// callers are the connections of a crowd.
type callers struct {
	wg    sync.WaitGroup
	ended chan struct{}

	mu       sync.Mutex
	statuses map[int]int
	// refused are the IDs of the requests that were refused with the promise that they have not run and never will.
	refused []string
	// unpromised counts refusals for lack of room that don't say when to come back.
	unpromised int
}

// come lets a crowd come and returns once each of its callers has sent what it can. They stay until leave.
func (c crowd) come(address string) *callers {
	a := &callers{ended: make(chan struct{}), statuses: map[int]int{}}
	var sent sync.WaitGroup
	sent.Add(c.size)
	for i := range c.size {
		a.wg.Go(func() {
			once := sync.OnceFunc(sent.Done)
			defer once()
			for n := 0; n <= returns && !a.hasEnded(); n++ {
				c.stay(a, address, fmt.Sprintf("crowd-%d-%d", i, n), once)
			}
		})
	}
	sent.Wait()
	return a
}

func (a *callers) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// leave ends all connections.
func (a *callers) leave() {
	close(a.ended)
	a.wg.Wait()
}

// stay opens a connection, sends, and stays until the connection or the crowd ends.
func (c crowd) stay(a *callers, address, id string, sent func()) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if c.deaf {
			<-a.ended
			return
		}
		a.readAnswer(conn, id)
	}()
	c.send(a, conn, id)
	sent()
	for c.drips {
		if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil || a.hasEnded() {
			break
		}
		time.Sleep(dripInterval)
	}
	select {
	case <-closed:
	case <-a.ended:
	}
	conn.Close()
	<-closed
}

func (c crowd) send(a *callers, conn net.Conn, id string) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendWithin))
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	if _, err := io.WriteString(conn, c.headOf(id)); err != nil {
		return
	}
	for left := c.total; left > 0 && !a.hasEnded(); {
		n, err := conn.Write(c.body[:min(left, len(c.body))])
		if err != nil {
			return
		}
		left -= n
	}
}

func (c crowd) headOf(id string) string {
	if c.method == "" {
		return c.head
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, id, statedTimeout.Milliseconds())
	if c.key != "" {
		head += "Authorization: " + c.key + "\r\n"
	}
	return head + c.framing + "\r\n\r\n"
}

// readAnswer records the status of the answer and reads until the connection ends.
func (a *callers) readAnswer(conn net.Conn, id string) {
	r := bufio.NewReader(conn)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return
	}
	a.record(response, id)
	_, _ = io.Copy(io.Discard, r)
}

func (a *callers) record(r *http.Response, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[r.StatusCode]++
	switch r.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if r.Header.Get("Retry-After") == "" {
			a.unpromised++
		}
		a.refused = append(a.refused, id)
	case http.StatusRequestTimeout:
		a.refused = append(a.refused, id)
	}
}

// chunk returns a chunk of n bytes.
func chunk(n int) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
}
