package ident

import (
	"encoding/hex"
	"fmt"
	"strings"
)

const requestIDSeparator = "."

// NewRequestID joins the daemon incarnation that accepts the request with
// random bytes, so that any gateway knows which daemon to ask first about the
// request.
func NewRequestID(owner Incarnation, random []byte) RequestID {
	return RequestID(string(owner) + requestIDSeparator + hex.EncodeToString(random))
}

// Owner returns the incarnation that accepted the request.
func (r RequestID) Owner() (Incarnation, error) {
	i := strings.LastIndex(string(r), requestIDSeparator)
	if i <= 0 {
		return "", &MalformedRequestIDError{Value: string(r)}
	}
	return Incarnation(r[:i]), nil
}

// MalformedRequestIDError reports that a text is not a valid request ID.
type MalformedRequestIDError struct{ Value string }

func (e *MalformedRequestIDError) Error() string {
	return fmt.Sprintf("malformed request ID %q", e.Value)
}
