// Package ident defines a separate type for each kind of identifier, so that
// the compiler rejects, for example, a failure domain that is passed as a
// workspace.
package ident

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// DaemonID identifies the daemon of one entry VM. A replacement VM at the same
// address keeps the ID.
type DaemonID string

// Incarnation identifies one run of a daemon process: its DaemonID and a
// random number drawn at start. An incarnation is never reused after its
// process has ended.
type Incarnation string

// FailureDomain identifies a set of VMs that can fail or be reclaimed
// together.
type FailureDomain string

// Workspace identifies one customer of the platform.
type Workspace string

// RunnerID identifies one incarnation of a runner, which is a backend server.
type RunnerID string

// RequestID identifies an accepted model request until it ends.
type RequestID string

// AttemptID identifies one dispatch of a request to a runner.
type AttemptID string

// Generation numbers the accepted configurations in increasing order. Zero
// means that there is none.
type Generation uint64

const incarnationSeparator = "~"

// NewIncarnation joins a daemon ID with random bytes drawn at start.
func NewIncarnation(id DaemonID, random []byte) Incarnation {
	return Incarnation(string(id) + incarnationSeparator + hex.EncodeToString(random))
}

// Daemon returns the ID of the daemon that this is an incarnation of.
func (i Incarnation) Daemon() (DaemonID, error) {
	id, _, ok := strings.Cut(string(i), incarnationSeparator)
	if !ok || id == "" {
		return "", &MalformedIncarnationError{Value: string(i)}
	}
	return DaemonID(id), nil
}

// MalformedIncarnationError reports that a text is not a valid incarnation.
type MalformedIncarnationError struct{ Value string }

func (e *MalformedIncarnationError) Error() string {
	return fmt.Sprintf("malformed incarnation %q", e.Value)
}
