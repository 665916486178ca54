// Package config holds the configuration register as pure state machines: a
// Submission brings a manifest to acceptance by compare-and-swap of one head,
// a Follower brings accepted heads into force in one daemon. Neither does any
// I/O; a driver carries out the steps and effects that they return.
package config

import (
	"encoding/json"
	"fmt"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// MaxPast bounds the accepted configurations that a head remembers.
const MaxPast = 32

// Accepted names one accepted configuration.
type Accepted struct {
	Generation ident.Generation `json:"generation"`
	Sections   []manifest.Hash  `json:"sections"`
	// SubmissionID was chosen by the submitter and is unique for all time.
	SubmissionID       string `json:"submission_id"`
	Author             string `json:"author"`
	AcceptedUnixMillis int64  `json:"accepted_unix_ms"`
}

// Head is the register's value: the newest accepted configuration and, newest
// first, at most MaxPast earlier ones. The earlier ones let a submitter whose
// swap was answered by silence see that it had been accepted before others
// went on; they are the history too.
type Head struct {
	Accepted
	Past []Accepted `json:"past,omitempty"`
}

// EncodeHead returns the stored form.
func EncodeHead(h Head) ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

// DecodeHead reads the stored form; the error is a *MalformedHeadError.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, &MalformedHeadError{Err: err}
	}
	return h, nil
}

// History lists all that the head knows, newest first.
func (h Head) History() []Accepted {
	if h.Generation == 0 {
		return nil
	}
	return append([]Accepted{h.Accepted}, h.Past...)
}

// Find returns the configuration that came of a submission.
func (h Head) Find(submissionID string) (Accepted, bool) {
	for _, a := range h.History() {
		if a.SubmissionID == submissionID {
			return a, true
		}
	}
	return Accepted{}, false
}

// prepend returns the head that puts next in front of h.
func (h Head) prepend(next Accepted) Head {
	past := h.History()
	if len(past) > MaxPast {
		past = past[:MaxPast]
	}
	return Head{Accepted: next, Past: past}
}

// MalformedHeadError says that the stored head can't be read.
type MalformedHeadError struct{ Err error }

func (e *MalformedHeadError) Error() string { return fmt.Sprintf("malformed head: %v", e.Err) }

// Unwrap returns the cause.
func (e *MalformedHeadError) Unwrap() error { return e.Err }
