package edge

import "time"

// A runner in trouble may send bytes that are no answer, and without end: a head that never ends, or answers that
// nobody has asked for. These bounds say from where on such bytes are known to be no answer.
const (
	// MaxHeadBytes is the largest head (status line and header) of an answer, and of an interim one. Heads have a few
	// hundred bytes.
	MaxHeadBytes = 64 << 10
	// MaxPieceTime is how long bytes of one head or one event may come without its end. Runners write these at once, so
	// that several reads are needed only for a large one; callers leave a stream after two seconds without an event. A
	// silence within counts only if something other than the end follows it.
	MaxPieceTime = 1500 * time.Millisecond
	// MaxInterimAnswers is how many interim answers may precede an answer. One or two are usual.
	MaxInterimAnswers = 8
	// MaxSkippedBytes is the size of the largest answer to an earlier request that is skipped.
	MaxSkippedBytes = 1 << 20
)
