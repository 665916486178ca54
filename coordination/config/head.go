// Package config implements the configuration register as state machines without I/O. A driver
// carries out the steps and effects that they return.
//
// The register is one key in the key-value service, the head key. Its value, the Head, names the
// newest accepted configuration: its generation (a number that each accepted configuration
// increases) and the hashes of its sections. The sections are the parts of a manifest; each is
// stored under its hash. A Submission gets a manifest accepted by storing its sections and replacing
// the head by compare-and-swap. A Follower learns of accepted configurations in one daemon, fetches
// their sections and brings them into force: from then on the daemon works by them.
package config

import (
	"encoding/json"
	"fmt"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// MaxPast bounds the number of earlier accepted configurations in a head.
const MaxPast = 32

// Accepted identifies one accepted configuration.
type Accepted struct {
	Generation ident.Generation `json:"generation"`
	Sections   []manifest.Hash  `json:"sections"`
	// SubmissionID was chosen by the submitter and is never used for another submission. A
	// submitter finds its submission in a head by this ID.
	SubmissionID       string `json:"submission_id"`
	Author             string `json:"author"`
	AcceptedUnixMillis int64  `json:"accepted_unix_ms"`
}

// Head is the value of the register: the newest accepted configuration and up to MaxPast
// earlier ones, newest first. From the earlier ones, a submitter that got no answer to its
// swap can tell that its submission was accepted even after others have followed. They also
// serve as the history.
type Head struct {
	Accepted
	Past []Accepted `json:"past,omitempty"`
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

// DecodeHead parses the stored form of a head. Errors are *MalformedHeadError.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, &MalformedHeadError{Err: err}
	}
	return h, nil
}

// History returns all accepted configurations in the head, newest first.
func (h Head) History() []Accepted {
	if h.Generation == 0 {
		return nil
	}
	return append([]Accepted{h.Accepted}, h.Past...)
}

// Find returns the accepted configuration of a submission.
func (h Head) Find(submissionID string) (Accepted, bool) {
	for _, a := range h.History() {
		if a.SubmissionID == submissionID {
			return a, true
		}
	}
	return Accepted{}, false
}

// Restore returns the head in which a configuration that was accepted after h, and lost by the
// key-value service, is the newest one again.
func (h Head) Restore(lost Accepted) Head { return h.prepend(lost) }

// prepend returns the head in which next is the newest configuration, followed by those of h.
func (h Head) prepend(next Accepted) Head {
	past := h.History()
	if len(past) > MaxPast {
		past = past[:MaxPast]
	}
	return Head{Accepted: next, Past: past}
}

// MalformedHeadError reports that the stored head can't be parsed.
type MalformedHeadError struct{ Err error }

func (e *MalformedHeadError) Error() string { return fmt.Sprintf("malformed head: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *MalformedHeadError) Unwrap() error { return e.Err }
