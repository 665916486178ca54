package manifest_test

import (
	"encoding/json"
	"testing"

	"geraniumstack.org/geraniumstack/examples"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// An operator's pipeline submits any document. Reading it must not panic, and
// what is accepted must survive being split into sections and joined again: the
// other daemons see nothing but the sections.
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
			t.Fatalf("accepted once, refused when written again: %v", err)
		}
	})
}
