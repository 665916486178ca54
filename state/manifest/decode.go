package manifest

import (
	"encoding/json"
	"fmt"

	"geraniumstack.org/geraniumstack/state/document"
)

// Decode decodes a complete manifest strictly. The error is an
// *UnsupportedFormatError if the manifest has another format version, and
// otherwise a *document.InvalidError that lists all errors in the document.
func Decode(data []byte) (*Manifest, error) {
	var versioned struct {
		Format string `json:"format"`
	}
	// If the document is not a JSON object, the strict decoder below reports
	// the error.
	if err := json.Unmarshal(data, &versioned); err == nil && versioned.Format != "" && versioned.Format != Format {
		return nil, &UnsupportedFormatError{Format: versioned.Format}
	}
	m := &Manifest{}
	if err := document.Decode(data, m); err != nil {
		return nil, err
	}
	return m, nil
}

// UnsupportedFormatError reports that a manifest has a format version that
// this program does not support.
type UnsupportedFormatError struct{ Format string }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("manifest format %q is not supported; this program reads %q", e.Format, Format)
}
