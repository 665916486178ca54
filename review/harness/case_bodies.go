package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// bodyBytes is the size of a body, max_body_bytes. bodyCallers is the number of callers.
	bodyBytes   = 4 << 20
	bodyCallers = 41
	// slowPiece and slowPause are how a slow runner reads.
	slowPiece = 16 << 10
	slowPause = 20 * time.Millisecond
)

// playLargeBodies lets runners read long requests slowly. The daemon's memory may not go over its limit, at which the
// platform kills it.
func playLargeBodies(w *world, trouble bool) ([]string, error) {
	handle := func(r *runner, c net.Conn, req *http.Request) bool {
		r.began(req)
		piece := make([]byte, slowPiece)
		for {
			_, err := io.ReadFull(req.Body, piece)
			if trouble && req.ContentLength > slowPiece {
				time.Sleep(slowPause)
			}
			if err == io.EOF || err == io.ErrUnexpectedEOF {
				break
			}
			if err != nil {
				return false
			}
		}
		body := "answer to " + req.Header.Get("X-Request-Id")
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", r.head(http.StatusOK, req), len(body), body)
		return err == nil
	}
	for range 4 {
		if _, err := w.addRunner("app", "north", "v1", handle); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/pledge/", kind: site.AtMostOnce, service: "app", timeoutMillis: 10000, targetMillis: 800, attempts: 1},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(1, nil); err != nil {
		return nil, err
	}
	d := w.daemons[0]
	killed := make(chan int, 1)
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { d.enforceMemory(done, killed) })
	var sending sync.WaitGroup
	body := string(bytes.Repeat([]byte("x"), bodyBytes))
	for range bodyCallers {
		sending.Go(func() {
			(&try{daemon: d, method: http.MethodPost, path: "/pledge/film", body: body, timeout: 10 * time.Second}).send()
		})
		time.Sleep(100 * time.Millisecond)
	}
	sending.Wait()
	close(done)
	watching.Wait()
	select {
	case kb := <-killed:
		return []string{fmt.Sprintf("Fault: %s used %d kB, over its limit of %d MB", d.name, kb, d.memoryMB)}, nil
	default:
		return nil, nil
	}
}

// enforceMemory kills the process when it exceeds its limit, as the platform does.
func (d *daemon) enforceMemory(done <-chan struct{}, killed chan<- int) {
	most := 0
	defer func() { d.w.rec.note("%s used %d kB at most", d.name, most) }()
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kb, err := residentKB(d.cmd.Process.Pid)
		if err != nil {
			return
		}
		most = max(most, kb)
		if kb > d.memoryMB<<10 {
			d.w.rec.note("%s uses %d kB and is killed", d.name, kb)
			killed <- kb
			d.kill()
			return
		}
	}
}

func residentKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
		}
	}
	return 0, os.ErrNotExist
}
