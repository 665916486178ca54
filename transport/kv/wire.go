package kv

// Paths of the service's HTTP interface; all are POST with a JSON body.
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

// GetRequest is the body of PathGet; the answer is an Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of PathList.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	// Limit bounds the number of entries; zero is no bound.
	Limit int `json:"limit,omitempty"`
}

// ListResponse is the answer to a ListRequest.
type ListResponse struct {
	Entries []Entry `json:"entries"`
}

// CompareAndSwapRequest is the body of PathCompareAndSwap.
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

// DeleteRequest is the body of PathDelete; the answer is empty.
type DeleteRequest struct {
	Key      string   `json:"key"`
	Expected Revision `json:"expected"`
}

// GrantRequest is the body of PathGrant.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseBody is the answer to a GrantRequest and the body of PathKeepAlive and
// PathRevoke, whose answers are empty.
type LeaseBody struct {
	Lease LeaseID `json:"lease"`
}

// WatchRequest is the body of PathWatch.
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

// ErrorCode tells the typed errors of the wire apart.
type ErrorCode string

// Codes of an ErrorBody.
const (
	CodeConflict     ErrorCode = "conflict"
	CodeLeaseExpired ErrorCode = "lease_expired"
	CodeTooLarge     ErrorCode = "too_large"
	CodeCompacted    ErrorCode = "compacted"
	CodeUnavailable  ErrorCode = "unavailable"
	CodeMalformed    ErrorCode = "malformed"
)

// ErrorBody is the JSON body of every answer that is not 200. Only the fields
// of its code are set.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Entry stands where a conflicting write wanted to go.
	Entry           *Entry   `json:"entry,omitempty"`
	Lease           LeaseID  `json:"lease,omitempty"`
	Size            int      `json:"size,omitempty"`
	Limit           int      `json:"limit,omitempty"`
	OldestRevision  Revision `json:"oldest_revision,omitempty"`
	CurrentRevision Revision `json:"current_revision,omitempty"`
}

// Err returns the typed error that the body stands for, nil if its code is not
// one that this package knows.
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
