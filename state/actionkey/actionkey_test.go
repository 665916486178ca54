package actionkey_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
)

func TestKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := actionkey.Token{
			Owner:     ident.Incarnation(rapid.StringMatching(`[a-z0-9.:]{1,20}~[0-9a-f]{1,16}`).Draw(t, "owner")),
			Issued:    time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "issued")),
			Lifetime:  time.Duration(rapid.Int64Range(1, 86_400_000).Draw(t, "lifetime")) * time.Millisecond,
			Journaled: rapid.Bool().Draw(t, "journaled"),
		}
		suffix := rapid.StringMatching(`[!-~]{1,40}`).Draw(t, "suffix")
		key, err := actionkey.Parse(token.String() + suffix)
		if err != nil {
			t.Fatal(err)
		}
		if key != (actionkey.Key{Token: token, Suffix: suffix}) {
			t.Fatalf("got %+v", key)
		}
		if parsed, err := actionkey.ParseToken(token.String()); err != nil || parsed != token {
			t.Fatalf("got %+v, %v", parsed, err)
		}
		if _, err := actionkey.ParseToken(token.String() + suffix); err == nil {
			t.Fatal("a key was accepted as a token")
		}
	})
}

func TestMalformedKeys(t *testing.T) {
	token := actionkey.Token{Owner: "entry-1~aa", Issued: time.UnixMilli(5), Lifetime: time.Minute}.String()
	for _, key := range []string{"", "plain", "gk1:", token, token + "a b", token + "\x00", "gk1:x:1:1:YQ:a", "gk1:j:1:0:YQ:a"} {
		is := is.New(t)
		_, err := actionkey.Parse(key)
		var malformed *actionkey.MalformedError
		is.True(errors.As(err, &malformed)) // the key must be rejected as malformed
	}
}
