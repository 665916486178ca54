package manifest_test

import (
	"encoding/json"
	"testing"

	"geraniumstack.org/geraniumstack/examples"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Operators may submit any document. Decoding it must not panic, and an
// accepted manifest must still be accepted after it is encoded again, since it
// is stored in encoded sections from which the other daemons decode it.
func FuzzDecode(f *testing.F) {
	f.Add(examples.Huaman)
	f.Add(examples.AspenCoulee)
	f.Add([]byte(`{"format":"geraniumstack/v1"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := manifest.Decode(again); err != nil {
			t.Fatalf("the manifest was accepted, but rejected after it was encoded again: %v", err)
		}
	})
}
