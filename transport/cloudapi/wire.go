package cloudapi

import "time"

// Paths of the cloud API, the VM list and the weight store.
const (
	// PathStart takes POST with a StartRequest; the answer is a VM.
	PathStart = "/v1/vms/start"
	// PathStop takes POST with a StopRequest; the answer is empty.
	PathStop = "/v1/vms/stop"
	// PathQuotes takes GET; the answer is a QuotesResponse.
	PathQuotes = "/v1/quotes"
	// PathNotices takes GET with ParamAfter and ParamWait; the answer is a
	// NoticesResponse.
	PathNotices = "/v1/notices"
	// PathVMs takes GET; the answer is a ListResponse.
	PathVMs = "/v1/vms"
	// PathWeights takes GET with ParamName and ParamVersion; the answer is a
	// Weight.
	PathWeights = "/v1/weights"
)

// Query parameters.
const (
	ParamAfter   = "after"
	ParamWait    = "wait_ms"
	ParamName    = "name"
	ParamVersion = "version"
)

// StopRequest is the body of a request to PathStop.
type StopRequest struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
}

// QuotesResponse is the answer to a request to PathQuotes.
type QuotesResponse struct {
	Quotes []Quote `json:"quotes"`
}

// NoticesResponse is the answer to a request to PathNotices.
type NoticesResponse struct {
	Notices []Notice `json:"notices"`
}

// ListResponse is the answer to a request to PathVMs.
type ListResponse struct {
	VMs []VM `json:"vms"`
}

// ErrorCode identifies the type of an error.
type ErrorCode string

// Codes of errors.
const (
	CodeStartRefused ErrorCode = "start_refused"
	CodeNotFound     ErrorCode = "not_found"
	CodeRateLimited  ErrorCode = "rate_limited"
	CodeStaleFencing ErrorCode = "stale_fencing"
	CodeUnavailable  ErrorCode = "unavailable"
	CodeMalformed    ErrorCode = "malformed"
)

// ErrorBody is the JSON body of every answer whose status isn't 200.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// RetryAfterMillis is set with CodeRateLimited, Fencing with CodeStaleFencing.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	Fencing          uint64 `json:"fencing,omitempty"`
}

// Err returns the typed error for the body's code, or nil if the code leaves the outcome of the
// call open.
func (b ErrorBody) Err() error {
	switch b.Code {
	case CodeStartRefused:
		return &StartRefusedError{Reason: b.Message}
	case CodeNotFound:
		return &NotFoundError{Resource: b.Message}
	case CodeRateLimited:
		return &RateLimitedError{RetryAfter: time.Duration(b.RetryAfterMillis) * time.Millisecond}
	case CodeStaleFencing:
		return &StaleFencingError{Seen: b.Fencing}
	default:
		return nil
	}
}
