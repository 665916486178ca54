package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

const (
	// callReadTimeout bounds the time in which the message of a call arrives. Daemons send it at once.
	callReadTimeout = 5 * time.Second
	// decodedCopies is how many copies of its message a call takes while it is decoded, beside the one that was read.
	decodedCopies = 2
)

// callUnreadKey is the key of the context of a call whose message has not been read.
type callUnreadKey struct{}

// limitCalls reads the messages of calls as far as the budget of all callers' requests has room for them. A call without
// room is refused without having been decoded.
func (e *Edge) limitCalls(next http.Handler) http.Handler {
	if e.deps.Requests == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		held := e.deps.Requests.Begin(func(ended callerlimit.Ended) {
			e.log.Note("caller_ended", decisions.F("what", "delegated_request"), decisions.F("remote", r.RemoteAddr), decisions.F("held", ended.Held),
				decisions.F("age", ended.Age), decisions.F("used", ended.Used), decisions.F("limit", ended.Limit))
			// If this fails, the call has ended.
			_ = control.SetReadDeadline(time.Unix(0, 1))
		})
		defer held.Release()
		message, err := readCall(control, held, r)
		if err != nil {
			held.Release()
			e.log.Note("call_unread", decisions.F("daemon", r.RemoteAddr), decisions.F("error", err.Error()))
			r = r.WithContext(context.WithValue(r.Context(), callUnreadKey{}, true))
			message = bytes.NewReader(emptyMessage)
		}
		r.Body = io.NopCloser(message)
		r.ContentLength = -1
		next.ServeHTTP(w, r)
	})
}

// emptyMessage is the envelope of a message without content: no flags and no length.
var emptyMessage = make([]byte, 5)

func readCall(control *http.ResponseController, held *callerlimit.Request, r *http.Request) (io.Reader, error) {
	deadline := time.Now().Add(callReadTimeout)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	message, err := held.ReadBody(http.MaxBytesReader(nil, r.Body, maxDelegatedBytes), r.ContentLength, deadline)
	if err != nil {
		return nil, err
	}
	if err := held.Grow(decodedCopies*int64(message.Len()), deadline); err != nil {
		return nil, err
	}
	if !held.Whole() {
		return nil, &callerlimit.EndedError{}
	}
	return message.Reader(), control.SetReadDeadline(time.Time{})
}
