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

// callReadTimeout bounds the time in which the message of a call arrives. Daemons send it at once.
const callReadTimeout = 5 * time.Second

// callUnreadKey is the key of the context of a call whose message has not been read.
type callUnreadKey struct{}

// limitCalls reads the messages of calls as far as the budget of all callers' requests has room for them. A call without
// room is refused without having been decoded.
func (e *Edge) limitCalls(next http.Handler) http.Handler {
	if e.deps.Requests == nil {
		return next
	}
	endedCallers := NewEndedCallers(e.log)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		held := e.deps.Requests.Begin(func(ended callerlimit.Ended) {
			endedCallers.Note("delegated_request", "", r.RemoteAddr, ended)
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
	message, err := held.ReadToDecode(http.MaxBytesReader(nil, r.Body, maxDelegatedBytes), r.ContentLength, deadline)
	if err != nil {
		return nil, err
	}
	return message.Reader(), control.SetReadDeadline(time.Time{})
}
