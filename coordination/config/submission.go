package config

import (
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// AnyGeneration as the expected generation replaces whatever configuration is accepted.
const AnyGeneration int64 = -1

// Step is the next action for the driver of a Submission: *ReadHead, *StoreSections,
// *SwapHead, *Done or *Failed.
type Step interface{ step() }

// ReadHead asks the driver to read the head and call HeadRead.
type ReadHead struct{}

// StoreSections asks the driver to write sections under their hashes, which is idempotent,
// and to call SectionsStored once all of them are written.
type StoreSections struct{ Sections []manifest.Section }

// SwapHead asks for a compare-and-swap of the head. The driver then calls Swapped,
// SwapConflict or SwapLost.
type SwapHead struct {
	// Expected is the revision of the head in the key-value service; zero if there is no head.
	Expected uint64
	Head     Head
}

// Done says that the submission is accepted.
type Done struct{ Accepted Accepted }

// Failed says that the submission ended without a known acceptance. Err is a
// *ConflictError or an *OutcomeUnknownError.
type Failed struct{ Err error }

func (*ReadHead) step()      {}
func (*StoreSections) step() {}
func (*SwapHead) step()      {}
func (*Done) step()          {}
func (*Failed) step()        {}

// Submission is one attempt to get a manifest accepted; see the package comment.
type Submission struct {
	id                 string
	author             string
	expectedGeneration int64
	// knownGeneration is the generation in force at the submitter's daemon when the submission
	// was created.
	knownGeneration ident.Generation
	sections        []manifest.Section

	nextStep       Step
	sectionsStored bool
	// lostSwapGeneration is the generation of a swap whose answer was lost; zero if there is none.
	lostSwapGeneration ident.Generation
}

// NewSubmission returns a submission whose first step reads the head. expected is the
// generation to replace, or AnyGeneration. knownGeneration is the generation in force at
// the submitter's daemon.
// A manifest that daemons could not read back fails with the error of manifest.Join, because
// it would block every daemon once accepted.
func NewSubmission(m *manifest.Manifest, author, id string, expectedGeneration int64, knownGeneration ident.Generation) (*Submission, error) {
	sections, err := manifest.Split(m)
	if err != nil {
		return nil, err
	}
	if _, err := manifest.Join(manifest.Hashes(sections), contents(sections)); err != nil {
		return nil, err
	}
	return &Submission{
		id: id, author: author, expectedGeneration: expectedGeneration, knownGeneration: knownGeneration,
		sections: sections, nextStep: &ReadHead{},
	}, nil
}

func contents(sections []manifest.Section) map[manifest.Hash][]byte {
	data := make(map[manifest.Hash][]byte, len(sections))
	for _, section := range sections {
		data[section.Hash] = section.Data
	}
	return data
}

// Step returns the next step. It returns the same step until the driver has answered it.
func (s *Submission) Step() Step { return s.nextStep }

// SectionsStored answers StoreSections. The head is read again, because it may have changed
// since it was read before the writes.
func (s *Submission) SectionsStored() {
	s.sectionsStored = true
	s.nextStep = &ReadHead{}
}

// HeadRead answers ReadHead; revision zero means that there is no head.
func (s *Submission) HeadRead(now time.Time, head Head, revision uint64) {
	if a, ok := head.Find(s.id); ok {
		s.nextStep = &Done{Accepted: a}
		return
	}
	if s.mayBeTruncated(head) {
		s.nextStep = &Failed{Err: &OutcomeUnknownError{SubmissionID: s.id}}
		return
	}
	if s.expectedGeneration != AnyGeneration && ident.Generation(s.expectedGeneration) != head.Generation {
		s.nextStep = &Failed{Err: &ConflictError{Expected: s.expectedGeneration, Current: head.Accepted}}
		return
	}
	if !s.sectionsStored {
		s.nextStep = &StoreSections{Sections: s.sections}
		return
	}
	s.nextStep = &SwapHead{Expected: revision, Head: head.prepend(s.proposal(now, head))}
}

// mayBeTruncated reports whether a swap whose answer was lost may have been accepted and
// since dropped from the head's bounded list of earlier configurations.
func (s *Submission) mayBeTruncated(head Head) bool {
	if s.lostSwapGeneration == 0 || len(head.Past) == 0 {
		return false
	}
	return head.Past[len(head.Past)-1].Generation > s.lostSwapGeneration
}

// proposal returns the new configuration with a generation above both the head and the
// configuration in force at the submitter's daemon. After an outage the key-value service may
// return an older head. A generation derived from that head alone could repeat one that daemons
// already have in force, and they would ignore the new content as already applied.
func (s *Submission) proposal(now time.Time, head Head) Accepted {
	return Accepted{
		Generation:         max(head.Generation, s.knownGeneration) + 1,
		Sections:           manifest.Hashes(s.sections),
		SubmissionID:       s.id,
		Author:             s.author,
		AcceptedUnixMillis: now.UnixMilli(),
	}
}

// Swapped answers SwapHead: the swap took effect.
func (s *Submission) Swapped() {
	if swap, ok := s.nextStep.(*SwapHead); ok {
		s.nextStep = &Done{Accepted: swap.Head.Accepted}
	}
}

// SwapConflict answers SwapHead: the swap did not take effect, or an earlier attempt of the
// same swap did. Reading the head shows which.
func (s *Submission) SwapConflict() { s.nextStep = &ReadHead{} }

// SwapLost answers SwapHead: no answer arrived, so the swap may take effect now, later or
// never. The next read of the head decides. A repeated swap expects the same revision, so at
// most one of the two can take effect.
func (s *Submission) SwapLost() {
	if swap, ok := s.nextStep.(*SwapHead); ok {
		s.lostSwapGeneration = swap.Head.Generation
	}
	s.nextStep = &ReadHead{}
}

// AbortError returns the error to report when the driver stops before Done or Failed:
// *OutcomeUnknownError if the answer to a swap is missing, else *NotAcceptedError.
func (s *Submission) AbortError(cause error) error {
	if _, swapping := s.nextStep.(*SwapHead); swapping || s.lostSwapGeneration != 0 {
		return &OutcomeUnknownError{SubmissionID: s.id, Err: cause}
	}
	return &NotAcceptedError{SubmissionID: s.id, Err: cause}
}

// ConflictError reports that the accepted configuration is not the expected one.
type ConflictError struct {
	Expected int64
	Current  Accepted
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected generation %d, but generation %d of %s is accepted", e.Expected, e.Current.Generation, e.Current.Author)
}

// OutcomeUnknownError reports that it is unknown whether a submission was accepted. Sending it
// again with the same submission ID finds out.
type OutcomeUnknownError struct {
	SubmissionID string
	Err          error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of submission %s is unknown: %v", e.SubmissionID, e.Err)
}

// Unwrap returns the underlying error.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NotAcceptedError reports that a submission was aborted before any swap.
type NotAcceptedError struct {
	SubmissionID string
	Err          error
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("submission %s was not accepted: %v", e.SubmissionID, e.Err)
}

// Unwrap returns the underlying error.
func (e *NotAcceptedError) Unwrap() error { return e.Err }
