// Package segment holds long values in pieces. A value whose length isn't known can grow without being copied, so that it
// never takes twice its memory.
package segment

import (
	"bytes"
	"io"
)

// List is a value as the sequence of its pieces. The zero value is empty. Its pieces must not be changed.
type List [][]byte

// Of returns a value that consists of one piece.
func Of(data []byte) List {
	if len(data) == 0 {
		return nil
	}
	return List{data}
}

// Len returns the number of bytes.
func (l List) Len() int {
	n := 0
	for _, s := range l {
		n += len(s)
	}
	return n
}

// Bytes returns the value in one piece, which is a copy unless there is only one.
func (l List) Bytes() []byte {
	switch len(l) {
	case 0:
		return nil
	case 1:
		return l[0]
	}
	return bytes.Join(l, nil)
}

// Reader returns a reader of the value.
func (l List) Reader() io.Reader {
	readers := make([]io.Reader, len(l))
	for i, s := range l {
		readers[i] = bytes.NewReader(s)
	}
	return io.MultiReader(readers...)
}
