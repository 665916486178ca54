// Package actionkey holds the idempotency keys of actions: calls that may not
// be repeated. A key made from a token names the one owner that may dispatch
// it, so no agreement is needed at the time of the call.
package actionkey

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// MaxLength bounds a key in bytes, its token included.
const MaxLength = 256

const (
	keyVersion = "gk1"
	separator  = ":"
	fieldCount = 6
	numberBase = 36

	modeJournaled   = "j"
	modeUnjournaled = "u"
)

// Token is what a caller puts before its own suffix to make a key.
type Token struct {
	// Owner is the only one to dispatch the token's keys.
	Owner ident.Incarnation
	// Issued is read from the owner's clock, in whole milliseconds.
	Issued time.Time
	// Lifetime is how long after Issued the keys may be used and repeated.
	Lifetime time.Duration
	// Journaled is the owner's promise that it dispatches the token's keys
	// only after they are in its journal. Tokens issued while the journal
	// can't be written don't carry it.
	Journaled bool
}

// Key is a parsed key.
type Key struct {
	Token
	Suffix string
}

// ID names an action: keys of different workspaces never meet.
type ID struct {
	Workspace ident.Workspace `json:"w"`
	Key       string          `json:"k"`
}

// MalformedError says that a text that starts like a key is none.
type MalformedError struct{ Key, Problem string }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed key %q: %s", e.Key, e.Problem)
}

// String returns the text to which a caller appends its suffix.
func (t Token) String() string {
	mode := modeUnjournaled
	if t.Journaled {
		mode = modeJournaled
	}
	parts := []string{
		keyVersion,
		mode,
		strconv.FormatInt(t.Issued.UnixMilli(), numberBase),
		strconv.FormatInt(t.Lifetime.Milliseconds(), numberBase),
		base64.RawURLEncoding.EncodeToString([]byte(t.Owner)),
		"",
	}
	return strings.Join(parts, separator)
}

// Expires is when, by the owner's clock, the token's keys end.
func (t Token) Expires() time.Time { return t.Issued.Add(t.Lifetime) }

// HasToken tells whether the key was made from a token.
func HasToken(key string) bool { return strings.HasPrefix(key, keyVersion+separator) }

// Parse reads a key made from a token.
func Parse(key string) (Key, error) {
	if len(key) > MaxLength {
		return Key{}, &MalformedError{Key: key[:MaxLength], Problem: "too long"}
	}
	if !isPrintable(key) {
		return Key{}, &MalformedError{Key: strconv.QuoteToASCII(key), Problem: "not printable ASCII"}
	}
	parts := strings.SplitN(key, separator, fieldCount)
	if len(parts) != fieldCount || parts[0] != keyVersion {
		return Key{}, &MalformedError{Key: key, Problem: "not a token and a suffix"}
	}
	if parts[5] == "" {
		return Key{}, &MalformedError{Key: key, Problem: "empty suffix"}
	}
	token, err := parseToken(parts)
	if err != nil {
		return Key{}, err
	}
	return Key{Token: token, Suffix: parts[5]}, nil
}

// ParseToken reads a token without a suffix.
func ParseToken(text string) (Token, error) {
	const suffix = "s"
	key, err := Parse(text + suffix)
	if err != nil {
		return Token{}, err
	}
	if key.Suffix != suffix {
		return Token{}, &MalformedError{Key: text, Problem: "text after the token"}
	}
	return key.Token, nil
}

func isPrintable(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func parseToken(parts []string) (Token, error) {
	text := strings.Join(parts, separator)
	if parts[1] != modeJournaled && parts[1] != modeUnjournaled {
		return Token{}, &MalformedError{Key: text, Problem: "unknown mode"}
	}
	issued, err := strconv.ParseInt(parts[2], numberBase, 64)
	if err != nil {
		return Token{}, &MalformedError{Key: text, Problem: "issue time"}
	}
	lifetime, err := strconv.ParseInt(parts[3], numberBase, 64)
	if err != nil || lifetime <= 0 || lifetime > maxLifetime.Milliseconds() {
		return Token{}, &MalformedError{Key: text, Problem: "lifetime"}
	}
	owner, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil || len(owner) == 0 {
		return Token{}, &MalformedError{Key: text, Problem: "owner"}
	}
	return Token{
		Owner:     ident.Incarnation(owner),
		Issued:    time.UnixMilli(issued),
		Lifetime:  time.Duration(lifetime) * time.Millisecond,
		Journaled: parts[1] == modeJournaled,
	}, nil
}

// maxLifetime bounds what a forged token could make an owner remember.
const maxLifetime = 24 * time.Hour
