package config

import (
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// AnyGeneration is the expectation that replaces whatever is accepted.
const AnyGeneration int64 = -1

// Step is what the driver of a Submission has to do next: *ReadHead,
// *StoreSections, *SwapHead, *Done or *Failed.
type Step interface{ step() }

// ReadHead asks for the head; answer with HeadRead.
type ReadHead struct{}

// StoreSections asks to write sections under their hashes; repeating a write
// does no harm. Answer with SectionsStored once all are there.
type StoreSections struct{ Sections []manifest.Section }

// SwapHead asks for a compare-and-swap of the head. Answer with Swapped,
// SwapConflict or SwapLost.
type SwapHead struct {
	// Expected is the store's revision of the head; zero is none there.
	Expected uint64
	Head     Head
}

// Done says that the submission is known to be accepted.
type Done struct{ Accepted Accepted }

// Failed says that the submission ended otherwise: *ConflictError or
// *OutcomeUnknownError.
type Failed struct{ Err error }

func (*ReadHead) step()      {}
func (*StoreSections) step() {}
func (*SwapHead) step()      {}
func (*Done) step()          {}
func (*Failed) step()        {}

// Submission is one attempt to have a manifest accepted.
type Submission struct {
	id       string
	author   string
	expected int64
	// floor is the highest generation that the submitter has seen anywhere.
	floor    ident.Generation
	sections []manifest.Section

	next           Step
	sectionsStored bool
	// unknownSwap holds the generation of a swap whose answer was lost.
	unknownSwap ident.Generation
}

// NewSubmission starts with reading the head. The expected generation is the
// one to replace, or AnyGeneration. Floor is the generation in force at the
// submitter. A manifest that daemons could not read back is refused with
// manifest.Join's error: once accepted it would block every daemon.
func NewSubmission(m *manifest.Manifest, author, id string, expected int64, floor ident.Generation) (*Submission, error) {
	sections, err := manifest.Split(m)
	if err != nil {
		return nil, err
	}
	if _, err := manifest.Join(manifest.Hashes(sections), contents(sections)); err != nil {
		return nil, err
	}
	return &Submission{
		id: id, author: author, expected: expected, floor: floor,
		sections: sections, next: &ReadHead{},
	}, nil
}

func contents(sections []manifest.Section) map[manifest.Hash][]byte {
	data := make(map[manifest.Hash][]byte, len(sections))
	for _, section := range sections {
		data[section.Hash] = section.Data
	}
	return data
}

// Step returns what to do now; repeating it while no answer was given is safe.
func (s *Submission) Step() Step { return s.next }

// SectionsStored answers StoreSections. The head is read again, since what was
// read before the writes may be old.
func (s *Submission) SectionsStored() {
	s.sectionsStored = true
	s.next = &ReadHead{}
}

// HeadRead answers ReadHead; revision zero says that there is none.
func (s *Submission) HeadRead(now time.Time, head Head, revision uint64) {
	if a, ok := head.Find(s.id); ok {
		s.next = &Done{Accepted: a}
		return
	}
	if s.mayBeTruncated(head) {
		s.next = &Failed{Err: &OutcomeUnknownError{SubmissionID: s.id}}
		return
	}
	if s.expected != AnyGeneration && ident.Generation(s.expected) != head.Generation {
		s.next = &Failed{Err: &ConflictError{Expected: s.expected, Current: head.Accepted}}
		return
	}
	if !s.sectionsStored {
		s.next = &StoreSections{Sections: s.sections}
		return
	}
	s.next = &SwapHead{Expected: revision, Head: head.prepend(s.nextAccepted(now, head))}
}

// mayBeTruncated tells whether a lost swap may have been accepted and has since
// fallen off the head's bounded past.
func (s *Submission) mayBeTruncated(head Head) bool {
	if s.unknownSwap == 0 || len(head.Past) == 0 {
		return false
	}
	return head.Past[len(head.Past)-1].Generation > s.unknownSwap
}

// nextAccepted numbers the new configuration above the head and above what the
// submitter's daemon has in force. Guards against a key-value service that
// came back from an outage with an older head: by the head alone, a generation
// that daemons have in force would be given out a second time, and they would
// ignore the new content as already applied.
func (s *Submission) nextAccepted(now time.Time, head Head) Accepted {
	return Accepted{
		Generation:         max(head.Generation, s.floor) + 1,
		Sections:           manifest.Hashes(s.sections),
		SubmissionID:       s.id,
		Author:             s.author,
		AcceptedUnixMillis: now.UnixMilli(),
	}
}

// Swapped answers SwapHead: it took effect.
func (s *Submission) Swapped() {
	if swap, ok := s.next.(*SwapHead); ok {
		s.next = &Done{Accepted: swap.Head.Accepted}
	}
}

// SwapConflict answers SwapHead: it did not take effect, or an earlier sending
// of the same swap did. Reading the head tells which.
func (s *Submission) SwapConflict() { s.next = &ReadHead{} }

// SwapLost answers SwapHead: no answer came. The swap may take effect now,
// later or never; what is read next decides, and a repeated swap expects the
// same revision, so at most one of the two can win.
func (s *Submission) SwapLost() {
	if swap, ok := s.next.(*SwapHead); ok {
		s.unknownSwap = swap.Head.Generation
	}
	s.next = &ReadHead{}
}

// AbortError returns the truthful error when the driver has to stop before Done or
// Failed: *OutcomeUnknownError if a swap's answer is open, else
// *NotAcceptedError.
func (s *Submission) AbortError(cause error) error {
	if _, swapping := s.next.(*SwapHead); swapping || s.unknownSwap != 0 {
		return &OutcomeUnknownError{SubmissionID: s.id, Err: cause}
	}
	return &NotAcceptedError{SubmissionID: s.id, Err: cause}
}

// ConflictError says that another configuration than the expected stands.
type ConflictError struct {
	Expected int64
	Current  Accepted
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected generation %d, but generation %d of %s is accepted", e.Expected, e.Current.Generation, e.Current.Author)
}

// OutcomeUnknownError says that a submission may have been accepted. The same
// submission ID can be sent again to find out.
type OutcomeUnknownError struct {
	SubmissionID string
	Err          error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of submission %s is unknown: %v", e.SubmissionID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NotAcceptedError says that a submission was given up before any swap.
type NotAcceptedError struct {
	SubmissionID string
	Err          error
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("submission %s was not accepted: %v", e.SubmissionID, e.Err)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }
