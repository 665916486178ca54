// Package journal keeps a log of actions per owner (the daemon that executes them) in the
// key-value service, so that other daemons can tell after the owner's end which actions ran.
// Entry n is stored at journal/<owner>/<n> and is created only if absent. An entry contains intents
// (actions that the owner is about to dispatch) and outcomes (results of actions). An action is
// identified by its action key, which contains a token that the owner issued and that expires.
// Any daemon can end the log by creating the next entry as a seal: the owner's next write then fails.
// The package does no I/O: it returns the writes to make.
package journal

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	keyPrefix   = "journal/"
	indexDigits = 12
)

// Intent permits the owner of the log, the daemon that executes the action, to dispatch the action
// once the intent has been written.
type Intent struct {
	ID actionkey.ID `json:"id"`
	// BodyHash is the hash of the request body. It detects a different body under the same key.
	BodyHash string `json:"h"`
}

// Header is one header field of an answer.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Outcome is the result of an action.
type Outcome struct {
	ID actionkey.ID `json:"id"`
	// BodyHash is the hash of the request body, as in the action's Intent.
	BodyHash string           `json:"h"`
	Executed refusal.Executed `json:"x"`
	// Reason and Detail are set if the action was refused.
	Reason refusal.Reason `json:"r,omitempty"`
	Detail string         `json:"d,omitempty"`
	// NotKept says that the answer was too large to be journaled.
	NotKept bool     `json:"nk,omitempty"`
	Status  int      `json:"s,omitempty"`
	Headers []Header `json:"hd,omitempty"`
	// Body is the body of the answer.
	Body []byte `json:"b,omitempty"`
}

// Seal marks the end of a log.
type Seal struct {
	By ident.Incarnation `json:"by"`
	// Successor is the incarnation of the daemon to which the owner handed over its complete table
	// of actions and their outcomes. It is empty if the owner handed over no complete table.
	Successor ident.Incarnation `json:"to,omitempty"`
}

// Entry is one entry of a log.
type Entry struct {
	// Nonce identifies the writer. It distinguishes the writer's own entry from another
	// daemon's when the answer to a write was lost.
	Nonce string `json:"nonce"`
	// Floor is a time by the owner's clock, in Unix milliseconds. Entries of keys that expired
	// before it may have been deleted from the log.
	Floor    int64     `json:"floor,omitempty"`
	Intents  []Intent  `json:"i,omitempty"`
	Outcomes []Outcome `json:"o,omitempty"`
	Seal     *Seal     `json:"seal,omitempty"`
}

// DecodeError reports a stored value or key that is not a valid journal entry.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("journal entry %q: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Prefix returns the key prefix of an owner's entries.
func Prefix(owner ident.Incarnation) string { return keyPrefix + string(owner) + "/" }

// EntryKey returns the key of entry n.
func EntryKey(owner ident.Incarnation, index uint64) string {
	return fmt.Sprintf("%s%0*d", Prefix(owner), indexDigits, index)
}

// Index parses the index of an entry from its key.
func Index(owner ident.Incarnation, key string) (uint64, error) {
	digits, ok := strings.CutPrefix(key, Prefix(owner))
	if !ok {
		return 0, &DecodeError{Key: key, Err: &actionkey.MalformedError{Key: key, Problem: "not of this owner"}}
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, &DecodeError{Key: key, Err: err}
	}
	return n, nil
}

// Encode returns the stored form of an entry.
func Encode(e Entry) ([]byte, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode journal entry: %w", err)
	}
	return value, nil
}

// Decode parses the stored form of an entry.
func Decode(key string, value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return Entry{}, &DecodeError{Key: key, Err: err}
	}
	return e, nil
}

func millis(t time.Time) int64 { return t.UnixMilli() }
