package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns the ID of a new try.
func newID() string { return fmt.Sprintf("req%06d", lastRequest.Add(1)) }

// try is one try of a caller on a new connection.
type try struct {
	daemon             *daemon
	method, path, body string
	// headers are sent besides the usual ones.
	headers []string
	noKey   bool
	timeout time.Duration
	// onEvent is called with the number of bytes that have come; it ends the try by returning false.
	onData func(all string) bool
}

// result is what came of a try.
type result struct {
	id        string
	sent      time.Time
	status    int
	signature string
	body      string
	// whole says that the answer is complete.
	whole bool
	err   error
}

// send sends a try and reads the answer.
func (t *try) send() result {
	id := newID()
	res := result{id: id, sent: time.Now()}
	rec := t.daemon.w.rec
	if t.timeout == 0 {
		t.timeout = 1500 * time.Millisecond
	}
	rec.note("sent: %s to %s: %s %s %s", id, t.daemon.name, t.method, t.path, strings.Join(t.headers, "; "))
	res.err = t.exchange(id, &res)
	detail := ""
	if res.signature == "" {
		detail = res.body
	}
	rec.note("answered: %s: status %d, signature %q, %d bytes, whole %v, error %v %s", id, res.status, res.signature, len(res.body), res.whole, res.err, detail)
	return res
}

func (t *try) exchange(id string, res *result) error {
	c, err := net.DialTimeout("tcp4", t.daemon.front(), time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(t.timeout + time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, t.encode(id)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: t.method})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	res.status, res.signature = answer.StatusCode, answer.Header.Get("X-Server-Signature")
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		res.body += string(buffer[:n])
		if t.onData != nil && !t.onData(res.body) {
			return nil
		}
		if err == io.EOF {
			res.whole = true
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// encode returns the try in the form in which it is sent.
func (t *try) encode(id string) string {
	lines := []string{
		t.method + " " + t.path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", t.timeout.Milliseconds()),
	}
	if !t.noKey {
		lines = append(lines, "Authorization: Token "+key)
	}
	lines = append(lines, t.headers...)
	if t.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(t.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + t.body
}

var lastPrompt atomic.Int64
