package actionkey_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
)

// Callers may send any text as a key. Parsing it must not panic, and a parsed
// key must have the same owner and suffix after it is formatted and parsed
// again. Otherwise one key could name two owners for the same action.
func FuzzParse(f *testing.F) {
	token := actionkey.Token{Owner: "gateway-1~ab", Issued: time.UnixMilli(1), Lifetime: time.Minute, Journaled: true}
	f.Add(token.String() + "pledge-1")
	f.Add("gk1:j:::")
	f.Add("plain")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := actionkey.Parse(text)
		if err != nil {
			return
		}
		again, err := actionkey.Parse(key.Token.String() + key.Suffix)
		if err != nil {
			t.Fatalf("the key can't be parsed after it was formatted again: %v", err)
		}
		if again.Owner != key.Owner || again.Suffix != key.Suffix || again.Journaled != key.Journaled || !again.Expires().Equal(key.Expires()) {
			t.Fatalf("%q was parsed as %+v, but after formatting as %+v", text, key, again)
		}
	})
}
