package edge

import (
	"fmt"
	"io"
	"time"
)

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
	// MaxAnswerBytes is the largest answer that is passed on. Answers have up to a few MB; one without a length can't be
	// told from one without an end, which would keep the processor busy until its deadline.
	MaxAnswerBytes = 256 << 20
	// MaxSkippedBytes is the size of the largest answer to an earlier request that is skipped.
	MaxSkippedBytes = 1 << 20
)

// sizedBody is the body of an answer of at most left more bytes.
type sizedBody struct {
	io.ReadCloser
	left int64
}

// answerTooLongError says that an answer has more than MaxAnswerBytes.
type answerTooLongError struct{}

func (*answerTooLongError) Error() string {
	return fmt.Sprintf("answer of over %d bytes", MaxAnswerBytes)
}

// Read returns an *answerTooLongError in place of the bytes that are too many.
func (b *sizedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, &answerTooLongError{}
	}
	return n, err
}
