package edge

import (
	"context"
	"errors"
	"io"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// An answer with neither a length nor chunks ends with its connection. The kernel of a runner that has
// failed ends its connections in the same way, so at such an end the runner is asked for a new
// connection. A runner that has failed refuses it, since it starts again after seconds only.

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	attempt *attempt
	// needsData says that an answer without any byte is never whole.
	needsData bool
	read      bool
	// connectionEnd describes how the connection stands; nil if nothing is known of it.
	connectionEnd func() string
}

// fallenRunnerError says that an answer ended because its runner has failed.
type fallenRunnerError struct{ Runner ident.RunnerID }

func (e *fallenRunnerError) Error() string { return "runner " + string(e.Runner) + " has failed" }

// Read returns io.EOF only if the answer is whole.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read = b.read || n > 0
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	whole := !(b.needsData && !b.read) && !b.attempt.runnerHasFallen(context.WithoutCancel(b.attempt.parent))
	b.noteEnd(whole)
	if !whole {
		return n, &fallenRunnerError{b.attempt.choice.Runner}
	}
	return n, err
}

func (b *unframedBody) noteEnd(whole bool) {
	connection := ""
	if b.connectionEnd != nil {
		connection = b.connectionEnd()
	}
	b.attempt.s.note("unframed_ended", decisions.F("runner", b.attempt.choice.Runner), decisions.F("connection", connection), decisions.F("whole", whole))
}
