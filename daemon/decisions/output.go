package decisions

import (
	"bufio"
	"io"
)

// output collects lines and writes them together.
type output struct {
	w      io.Writer
	buffer *bufio.Writer
	// unflushed is the number of lines since the last flush.
	unflushed int64
}

func newOutput(w io.Writer) *output {
	return &output{w: w, buffer: bufio.NewWriterSize(w, writeBufferBytes)}
}

// flush writes the collected lines. If a write has failed, it returns the number of lines that may be lost,
// and discards them: otherwise the buffer would never write again, even if the failure has passed, such as that of
// a full disk.
func (o *output) flush() (lost int64) {
	lines := o.unflushed
	o.unflushed = 0
	if o.buffer.Flush() == nil {
		return 0
	}
	o.buffer.Reset(o.w)
	// The failed write may have ended within a line. The buffer has room for this byte.
	_ = o.buffer.WriteByte('\n')
	return lines
}
