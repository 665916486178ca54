package cloudapi

import "time"

// Paths of the HTTP interfaces: the cloud API's, the VM list's and the weight
// store's.
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

// StopRequest is the body of PathStop.
type StopRequest struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
}

// QuotesResponse is the answer of PathQuotes.
type QuotesResponse struct {
	Quotes []Quote `json:"quotes"`
}

// NoticesResponse is the answer of PathNotices.
type NoticesResponse struct {
	Notices []Notice `json:"notices"`
}

// ListResponse is the answer of PathVMs.
type ListResponse struct {
	VMs []VM `json:"vms"`
}

// ErrorCode tells the typed errors of the wire apart.
type ErrorCode string

// Codes of an ErrorBody.
const (
	CodeStartRefused ErrorCode = "start_refused"
	CodeNotFound     ErrorCode = "not_found"
	CodeRateLimited  ErrorCode = "rate_limited"
	CodeStaleFencing ErrorCode = "stale_fencing"
	CodeUnavailable  ErrorCode = "unavailable"
	CodeMalformed    ErrorCode = "malformed"
)

// ErrorBody is the JSON body of every answer that is not 200.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// RetryAfterMillis comes with CodeRateLimited.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	Fencing          uint64 `json:"fencing,omitempty"`
}

// Err returns the typed error that the body stands for, nil for a code that is
// none of a definite answer's.
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
