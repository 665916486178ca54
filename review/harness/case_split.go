package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// playSplitHeader sends a request with a length and with chunks whose body holds another request, on a kept channel.
// Its head comes in two parts, the first together with the request before it.
func playSplitHeader(w *world, trouble bool) ([]string, error) {
	if _, err := w.addRunner("app", "north", "v1", answerWhole(15*time.Millisecond, http.StatusOK)); err != nil {
		return nil, err
	}
	err := w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/pledge/", kind: site.AtMostOnce, service: "app", timeoutMillis: 800, targetMillis: 100, attempts: 1},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(1, nil); err != nil {
		return nil, err
	}
	d := w.daemons[0]
	const inner = "inner0000001"
	hidden := "0\r\n\r\n" + pledge("/pledge/hidden", inner, 0) + "\r\n"
	// In one piece the request is refused.
	if err := sendParts(w, d, "whole", pledge("/pledge/second", "whole", len(hidden))+restOfHead(trouble)+hidden); err != nil {
		w.rec.note("channel of the request in one piece ended: %v", err)
	}
	for n := range 5 {
		if err := sendSplit(w, d, fmt.Sprintf("outer%02d", n), hidden, trouble); err != nil {
			w.rec.note("channel %d ended: %v", n, err)
		}
	}
	time.Sleep(time.Second)
	for _, r := range w.allRuns() {
		if r.id == inner {
			return []string{fmt.Sprintf("UNASKED: runner %s ran %s, which stood in the body of another request", r.runner, inner)}, nil
		}
	}
	return nil, nil
}

// pledge returns the lines of a request's head, without the blank line at its end.
func pledge(path, id string, length int) string {
	return strings.Join([]string{
		"POST " + path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + id, "X-Deadline-Ms: 1500", "Authorization: Token " + key,
		fmt.Sprintf("Content-Length: %d", length),
	}, "\r\n") + "\r\n"
}

// restOfHead returns the lines that end the head of the second request. Without trouble it has a length only.
func restOfHead(trouble bool) string {
	rest := "POST: 1\r\n"
	if trouble {
		rest += "Transfer-Encoding: chunked\r\n"
	}
	return rest + "\r\n"
}

// sendSplit sends two requests on a channel, the head of the second in two parts.
func sendSplit(w *world, d *daemon, id, body string, trouble bool) error {
	first := pledge("/pledge/first", id+"a", 0) + "\r\n"
	return sendParts(w, d, id, first+pledge("/pledge/second", id+"b", len(body)), restOfHead(trouble)+body)
}

// sendParts sends parts on a channel, each after an answer to the one before.
func sendParts(w *world, d *daemon, id string, parts ...string) error {
	c, err := net.DialTimeout("tcp4", d.front(), time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return err
	}
	in := bufio.NewReader(c)
	for _, part := range parts {
		w.rec.note("sent on the channel of %s: %q", id, part)
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		answer, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return err
		}
		text, err := io.ReadAll(answer.Body)
		w.rec.note("answered on the channel of %s: status %d, id %q, %q, error %v", id, answer.StatusCode, answer.Header.Get("X-Request-Id"), text, err)
	}
	time.Sleep(300 * time.Millisecond)
	return nil
}
