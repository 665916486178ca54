package journal_test

import (
	"bytes"
	"testing"

	"geraniumstack.org/geraniumstack/coordination/journal"
)

// Whoever seals an ended owner's log reads entries of other versions or damaged
// ones. It must get an error, not a panic, and an entry that is read must be the
// same when it is written again.
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
			t.Fatalf("written again it can't be read: %v", err)
		}
		second, err := journal.Encode(again)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Fatalf("%s became %s", first, second)
		}
	})
}
