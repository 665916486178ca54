package models

import (
	"fmt"
	"net/http"
	"time"
)

// writeDeadlines limits the time of each write of a handler's response. Without
// a limit, a stream keeps its goroutine until the kernel gives up, which takes
// 15 minutes, if the peer disappeared without closing the connection or if a
// network device dropped the connection silently.
func writeDeadlines(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, timeout: timeout}, r)
	})
}

type deadlineWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer with a deadline for each write.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	if err := d.extendDeadline(); err != nil {
		return 0, err
	}
	return d.ResponseWriter.Write(p)
}

// Flush implements http.Flusher. The next Write returns any error.
func (d *deadlineWriter) Flush() {
	if d.extendDeadline() == nil {
		_ = http.NewResponseController(d.ResponseWriter).Flush()
	}
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

func (d *deadlineWriter) extendDeadline() error {
	err := http.NewResponseController(d.ResponseWriter).SetWriteDeadline(time.Now().Add(d.timeout))
	if err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}
