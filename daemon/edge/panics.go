package edge

import (
	"fmt"
	"runtime/debug"
	"strings"

	"geraniumstack.org/geraniumstack/daemon/decisions"
)

// maxStackBytes bounds the stack in a log line; the first functions tell where a panic was.
const maxStackBytes = 2 << 10

// notePanic logs a panic of the goroutine that serves the request, and passes it on to the HTTP server, which closes
// the connection. It must be deferred.
func (s *requestHandler) notePanic() {
	p := recover()
	if p == nil {
		return
	}
	stack := debug.Stack()
	stack = stack[:min(len(stack), maxStackBytes)]
	s.noteLoss("panicked", decisions.F("error", fmt.Sprint(p)), decisions.F("begun", s.exchange.AnswerBegun),
		decisions.F("events", s.eventsSent()), decisions.F("stack", strings.ReplaceAll(string(stack), "\n", " ")))
	panic(p)
}
