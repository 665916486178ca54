package kv

// Paths of the service's HTTP interface. All take POST requests with a JSON body.
const (
	PathGet            = "/v1/get"
	PathList           = "/v1/list"
	PathCompareAndSwap = "/v1/compare-and-swap"
	PathDelete         = "/v1/delete"
	PathGrant          = "/v1/leases/grant"
	PathKeepAlive      = "/v1/leases/keep-alive"
	PathRevoke         = "/v1/leases/revoke"
	PathWatch          = "/v1/watch"
)

// GetRequest is the body of a request to PathGet. The answer is an Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of a request to PathList.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	// Limit is the maximum number of entries; zero means no limit.
	Limit int `json:"limit,omitempty"`
}

// ListResponse is the answer to a ListRequest.
type ListResponse struct {
	Entries []Entry `json:"entries"`
}

// CompareAndSwapRequest is the body of a request to PathCompareAndSwap.
type CompareAndSwapRequest struct {
	Key      string   `json:"key"`
	Expected Revision `json:"expected"`
	Value    []byte   `json:"value"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// CompareAndSwapResponse is the answer to a CompareAndSwapRequest.
type CompareAndSwapResponse struct {
	Revision Revision `json:"revision"`
}

// DeleteRequest is the body of a request to PathDelete. The answer is empty.
type DeleteRequest struct {
	Key      string   `json:"key"`
	Expected Revision `json:"expected"`
}

// GrantRequest is the body of a request to PathGrant.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseBody is the answer to a GrantRequest, and the body of requests to PathKeepAlive and
// PathRevoke, whose answers are empty.
type LeaseBody struct {
	Lease LeaseID `json:"lease"`
}

// WatchRequest is the body of a request to PathWatch.
type WatchRequest struct {
	Prefix     string   `json:"prefix"`
	After      Revision `json:"after"`
	WaitMillis int64    `json:"wait_ms"`
}

// WatchResponse is the answer to a WatchRequest.
type WatchResponse struct {
	Events   []Event  `json:"events,omitempty"`
	Revision Revision `json:"revision"`
}

// ErrorCode identifies the type of an error.
type ErrorCode string

// Codes of errors.
const (
	CodeConflict     ErrorCode = "conflict"
	CodeLeaseExpired ErrorCode = "lease_expired"
	CodeTooLarge     ErrorCode = "too_large"
	CodeCompacted    ErrorCode = "compacted"
	CodeUnavailable  ErrorCode = "unavailable"
	CodeMalformed    ErrorCode = "malformed"
)

// ErrorBody is the JSON body of every answer whose status isn't 200. Only the fields that belong to
// the code are set.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Entry is the current entry of the key of a conflicting write.
	Entry           *Entry   `json:"entry,omitempty"`
	Lease           LeaseID  `json:"lease,omitempty"`
	Size            int      `json:"size,omitempty"`
	Limit           int      `json:"limit,omitempty"`
	OldestRevision  Revision `json:"oldest_revision,omitempty"`
	CurrentRevision Revision `json:"current_revision,omitempty"`
}

// Err returns the typed error for the body's code, or nil if the code doesn't determine one.
func (b ErrorBody) Err() error {
	switch b.Code {
	case CodeConflict:
		if b.Entry == nil {
			return nil
		}
		return &ConflictError{Current: *b.Entry}
	case CodeLeaseExpired:
		return &LeaseExpiredError{Lease: b.Lease}
	case CodeTooLarge:
		return &TooLargeError{Size: b.Size, Limit: b.Limit}
	case CodeCompacted:
		return &CompactedError{Oldest: b.OldestRevision, Current: b.CurrentRevision}
	default:
		return nil
	}
}
