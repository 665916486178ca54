// Package journal keeps an owner's log of actions in the key-value service, so
// that after the owner's end others can tell what ran. Entry n stands at
// journal/<owner>/<n> and is created only if absent; whoever creates the next
// entry as a seal ends the log. The package is pure: writes are effects.
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
	root        = "journal/"
	indexDigits = 12
)

// Intent says that the owner may dispatch the action once this is written.
type Intent struct {
	ID actionkey.ID `json:"id"`
	// BodyHash tells another body under the same key.
	BodyHash string `json:"h"`
}

// Header is one field of an answer.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Outcome is how an action ended.
type Outcome struct {
	ID       actionkey.ID     `json:"id"`
	BodyHash string           `json:"h"`
	Executed refusal.Executed `json:"x"`
	// Reason and Detail belong to a refusal.
	Reason refusal.Reason `json:"r,omitempty"`
	Detail string         `json:"d,omitempty"`
	// NotKept says that the answer was too large for the journal.
	NotKept bool     `json:"nk,omitempty"`
	Status  int      `json:"s,omitempty"`
	Headers []Header `json:"hd,omitempty"`
	Body    []byte   `json:"b,omitempty"`
}

// Seal ends a log.
type Seal struct {
	By ident.Incarnation `json:"by"`
	// Successor holds the owner's whole table, once it has been passed on.
	Successor ident.Incarnation `json:"to,omitempty"`
}

// Entry is one write of a log.
type Entry struct {
	// Nonce tells the writer's own entry from another's when an answer of the
	// service was lost.
	Nonce string `json:"nonce"`
	// Floor is by the owner's clock, in Unix milliseconds: keys that expired
	// before it may have been collected from the log.
	Floor    int64     `json:"floor,omitempty"`
	Intents  []Intent  `json:"i,omitempty"`
	Outcomes []Outcome `json:"o,omitempty"`
	Seal     *Seal     `json:"seal,omitempty"`
}

// DecodeError says that a log holds something that is not an entry.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("journal entry %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Prefix is under what an owner's entries stand.
func Prefix(owner ident.Incarnation) string { return root + string(owner) + "/" }

// EntryKey is where entry n stands.
func EntryKey(owner ident.Incarnation, index uint64) string {
	return fmt.Sprintf("%s%0*d", Prefix(owner), indexDigits, index)
}

// Index returns the index of an entry of the owner's log.
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

// Encode returns an entry's stored form.
func Encode(e Entry) ([]byte, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode journal entry: %w", err)
	}
	return value, nil
}

// Decode reads an entry's stored form.
func Decode(key string, value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return Entry{}, &DecodeError{Key: key, Err: err}
	}
	return e, nil
}

func millis(t time.Time) int64 { return t.UnixMilli() }
