package manifest

import (
	"encoding/json"
	"fmt"

	"geraniumstack.org/geraniumstack/state/document"
)

// Decode reads a whole manifest strictly. The error is an
// *UnsupportedFormatError for another format version, else a
// *document.InvalidError that lists every fault.
func Decode(data []byte) (*Manifest, error) {
	var versioned struct {
		Format string `json:"format"`
	}
	// A document that is no JSON object falls through to the strict decoder,
	// which names the fault.
	if err := json.Unmarshal(data, &versioned); err == nil && versioned.Format != "" && versioned.Format != Format {
		return nil, &UnsupportedFormatError{Format: versioned.Format}
	}
	m := &Manifest{}
	if err := document.Decode(data, m); err != nil {
		return nil, err
	}
	return m, nil
}

// UnsupportedFormatError says that a manifest is of a format that this code
// does not read.
type UnsupportedFormatError struct{ Format string }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("manifest format %q is not supported; this program reads %q", e.Format, Format)
}
