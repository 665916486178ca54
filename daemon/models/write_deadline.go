package models

import (
	"fmt"
	"net/http"
	"time"
)

// writeDeadlines bounds each write of a handler's answer. Without it, a stream
// to a peer that went away without a word, or behind a device that lost track
// of the connection, keeps its goroutine until the kernel gives up, which takes
// a quarter of an hour.
func writeDeadlines(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, timeout: timeout}, r)
	})
}

type deadlineWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	if err := d.extendDeadline(); err != nil {
		return 0, err
	}
	return d.ResponseWriter.Write(p)
}

// Flush implements http.Flusher; an error shows in the next Write.
func (d *deadlineWriter) Flush() {
	if d.extendDeadline() == nil {
		_ = http.NewResponseController(d.ResponseWriter).Flush()
	}
}

// Unwrap lets http.ResponseController reach the writer beneath.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

func (d *deadlineWriter) extendDeadline() error {
	err := http.NewResponseController(d.ResponseWriter).SetWriteDeadline(time.Now().Add(d.timeout))
	if err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}
