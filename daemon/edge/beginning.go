package edge

import (
	"errors"
	"io"

	"geraniumstack.org/geraniumstack/protocol/forward"
)

// readBeginning reads the answer's body until something can be passed on: a whole event of a stream, or any byte of
// another body. Besides what it has read it returns io.EOF if the body has ended.
func (o *openAnswer) readBeginning() ([]byte, error) {
	buffer := make([]byte, copyBufferBytes)
	if !o.answer.Events {
		n, err := o.answer.Body.Read(buffer)
		return buffer[:n], err
	}
	var beginning []byte
	var timer eventTimer
	events := forward.NewEventStream("")
	for events.Ended() == 0 {
		n, err := o.answer.Body.Read(buffer)
		beginning = append(beginning, buffer[:n]...)
		if _, tooLarge := events.Push(nil, buffer[:n]); tooLarge != nil {
			return nil, tooLarge
		}
		unfinished := timer.check(events)
		switch {
		case unfinished != nil:
			return nil, unfinished
		case err != nil && events.Ended() > 0:
			return beginning, err
		case errors.Is(err, io.EOF) && events.HasPartialEvent():
			return nil, &truncatedEventError{}
		case err != nil:
			return nil, err
		}
	}
	return beginning, nil
}
