package forward_test

import (
	"bytes"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/protocol/forward"
)

// mostTimeForMiB is the target for the time that a mebibyte of event bytes may cost, however it arrives.
const mostTimeForMiB = time.Second

// push pushes a MiB of repeated bytes in pieces, until an error or the end of the time target.
func push(s *forward.EventStream, repeated []byte, pieceSize int) (took time.Duration, err error) {
	data := bytes.Repeat(repeated, forward.MaxEventBytes/len(repeated)+1)
	start := time.Now()
	for piece := range slices.Chunk(data, pieceSize) {
		if _, err = s.Push(nil, piece); err != nil || time.Since(start) > mostTimeForMiB {
			break
		}
	}
	return time.Since(start), err
}

// Guards against an event without end each of whose bytes costs another look at all before it.
func TestEventWithoutEndCostsItsBytesOnce(t *testing.T) {
	is := is.New(t)
	for _, repeated := range []string{"x", " ", "x\r\n", "x\n"} {
		took, err := push(forward.NewEventStream(""), []byte(repeated), 16)
		is.True(took < mostTimeForMiB)
		var tooLarge *forward.EventTooLargeError
		is.True(errors.As(err, &tooLarge))
	}
}

// Guards against tiny events each of which costs another look at all those behind it.
func TestTinyEventsCostTheirBytesOnce(t *testing.T) {
	is := is.New(t)
	for _, repeated := range []string{"\n\n", "\r\n\r\n", "x\n\n"} {
		took, err := push(forward.NewEventStream(""), []byte(repeated), forward.MaxEventBytes)
		is.NoErr(err)
		is.True(took < mostTimeForMiB)
	}
}

// Guards against ends of events that are found elsewhere when their bytes arrive in other pieces.
func TestEventsAreTheSameInAnyPieces(t *testing.T) {
	is := is.New(t)
	data := []byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\n\n\r\n\r\nid: 2\ndata: twice\n\nid: 4\ndata: c\n\r\nx\r\n\r\n\r\n\n\nid: 5\nrest\n")
	whole := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\n\n\r\n\r\nid: 4\ndata: c\n\r\nx\r\n\r\n\r\n\n"
	for size := 1; size <= len(data); size++ {
		s := forward.NewEventStream("")
		var out []byte
		for piece := range slices.Chunk(data, size) {
			var err error
			out, err = s.Push(out, piece)
			is.NoErr(err)
		}
		is.Equal(string(out), whole)
		is.True(s.HasPartialEvent())
		is.Equal(s.LastID(), "4")
	}
}
