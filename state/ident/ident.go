// Package ident names the things that the layers speak of, so that a failure
// domain cannot be passed where a workspace is expected.
package ident

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// DaemonID names one entry VM's place; a replacement VM at the same address
// keeps it.
type DaemonID string

// Incarnation names one run of one daemon: its DaemonID and a random number
// chosen at start. It never comes back after the process has ended.
type Incarnation string

// FailureDomain names a set of VMs that can be reclaimed or fail at once.
type FailureDomain string

// Workspace names one customer of the platform.
type Workspace string

// RunnerID names one incarnation of a runner (a backend server).
type RunnerID string

// RequestID names one accepted model request for its whole life.
type RequestID string

// AttemptID names one dispatch of a request to one runner.
type AttemptID string

// Generation numbers accepted configurations; it only grows. Zero means none.
type Generation uint64

const incarnationSeparator = "~"

// NewIncarnation joins a daemon's place with random bytes drawn at start.
func NewIncarnation(id DaemonID, random []byte) Incarnation {
	return Incarnation(string(id) + incarnationSeparator + hex.EncodeToString(random))
}

// Daemon returns the place that the incarnation runs at.
func (i Incarnation) Daemon() (DaemonID, error) {
	id, _, ok := strings.Cut(string(i), incarnationSeparator)
	if !ok || id == "" {
		return "", &MalformedIncarnationError{Value: string(i)}
	}
	return DaemonID(id), nil
}

// MalformedIncarnationError says that a text is not an incarnation.
type MalformedIncarnationError struct{ Value string }

func (e *MalformedIncarnationError) Error() string {
	return fmt.Sprintf("malformed incarnation %q", e.Value)
}
