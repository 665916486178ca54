package accounting

// SentReports is what a daemon knows of the reports that any daemon has sent. Windows are reported in
// order, and a window whose report was sent may be reported again only with the same counts. The zero
// value knows of no report, and that there may be others.
//
// The knowledge has two sources: the daemons that were there, which tell each other, and the intents in
// the key-value service. A daemon that starts has neither: the others may have ended, and the service may
// have lost its latest intents by coming back from a copy. Whoever reports must therefore know that the
// knowledge is complete, or give up the windows that may have been reported.
type SentReports struct {
	// through is the latest window of which a report is known to have been sent, or was announced by
	// another daemon. announced is the latest one that this daemon has announced.
	through, announced Window
	// complete says that no report of a later window was sent before this daemon learned so, and
	// that it has been told of those sent since.
	complete bool
}

// Through returns the latest window of which a report may have been sent, zero if none is known. Unless the
// intents in the key-value service say otherwise, no report of it or of an earlier window may be made.
func (s *SentReports) Through() Window { return s.through }

// Complete reports whether no report of a window after Through was sent.
func (s *SentReports) Complete() bool { return s.complete }

// Mark records that the report of a window is sent.
func (s *SentReports) Mark(w Window) { s.through = max(s.through, w) }

// Announce records that this daemon is about to send the reports up to a window, which the others must know before.
func (s *SentReports) Announce(w Window) { s.announced = max(s.announced, w) }

// ToTell returns the latest window that the other daemons must take for reported.
func (s *SentReports) ToTell() Window { return max(s.through, s.announced) }

// Learn takes up what another daemon knows, or what an intent says that is known to be the latest one.
func (s *SentReports) Learn(through Window, complete bool) {
	s.Mark(through)
	s.complete = s.complete || complete
}

// Lose records that reports may have been sent of which this daemon was not told.
func (s *SentReports) Lose() { s.complete = false }
