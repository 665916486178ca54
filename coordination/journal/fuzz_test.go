package journal_test

import (
	"bytes"
	"testing"

	"geraniumstack.org/geraniumstack/coordination/journal"
)

// A daemon that seals another owner's log reads entries that are damaged or were written by
// other program versions. Decode must return an error and never panic, and an entry that it
// accepts must survive encoding and decoding unchanged.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"nonce":"a/0","i":[{"id":{"w":"x","k":"y"}}]}`))
	f.Add([]byte(`{"nonce":"a/1","seal":{}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		entry, err := journal.Decode("journal/a/0", value)
		if err != nil {
			return
		}
		first, err := journal.Encode(entry)
		if err != nil {
			t.Fatal(err)
		}
		again, err := journal.Decode("journal/a/0", first)
		if err != nil {
			t.Fatalf("decoding the encoded entry: %v", err)
		}
		second, err := journal.Encode(again)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Fatalf("entry %s changed to %s after decoding and encoding", first, second)
		}
	})
}
