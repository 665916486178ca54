// Package httpanswer reads the answers of HTTP/1.1 servers, and takes for an answer only what the server has said
// (RFC 9110, RFC 9112). net/http is more lenient: it takes any three characters for a status, ignores chunks of HTTP/1.0,
// drops lines whose name holds a blank, and takes a reset connection for the end of a body without a length if the
// reset was told to whoever wrote the request.
//
// HeadReader checks heads before net/http parses them, EndOf tells how a connection has ended, and Transport
// applies both to a net/http transport.
package httpanswer

import (
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// Kind says what about the bytes shows that they are no answer.
type Kind string

// The kinds of bytes that are no answer.
const (
	// BadStatus is a first line that isn't HTTP/1.x with a status of 100 to 599.
	BadStatus Kind = "status"
	// UnaskedInterim is a status below 200 that no client has asked for, such as 101.
	UnaskedInterim Kind = "interim"
	// BadFieldName is a line without a name, or whose name holds other characters than a name may.
	BadFieldName Kind = "field_name"
	// BadFraming is a head that doesn't say where its body ends, or says it in two ways.
	BadFraming Kind = "framing"
	// EndlessHead is a head that has not ended within the allowed bytes.
	EndlessHead Kind = "endless_head"
	// Reset is a body without a length whose connection was reset.
	Reset Kind = "reset"
)

// Error says that a server's bytes are no answer.
type Error struct {
	Kind   Kind
	Detail string
}

func (e *Error) Error() string { return fmt.Sprintf("no answer (%s): %s", e.Kind, e.Detail) }

const (
	minStatus       = 100
	minFinalStatus  = 200
	maxStatus       = 599
	maxQuotedDetail = 80
)

// CheckFinal returns an *Error unless a final answer may have the status and the header.
func CheckFinal(status int, header http.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return &Error{BadStatus, "status " + strconv.Itoa(status)}
	}
	return checkNames(header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return badName([]byte(name))
		}
	}
	return nil
}

func badName(line []byte) error {
	return &Error{BadFieldName, fmt.Sprintf("%q", line[:min(len(line), maxQuotedDetail)])}
}
