package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
)

// Hash is the SHA-256 hash of a section in lower-case hex.
type Hash string

// HashOf returns the content hash of a section's bytes.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// Section is a part of a manifest that is stored separately.
type Section struct {
	Name string
	Hash Hash
	Data []byte
}

const formatField = "format"

// Split encodes the manifest as sections in a fixed order. Sections with equal
// content have equal bytes and therefore equal hashes.
func Split(m *Manifest) ([]Section, error) {
	parts := []struct {
		name  string
		value any
	}{
		{"models", m.Models},
		{"services", m.Services},
		{"workspaces", m.Workspaces},
		{"classes", m.Classes},
		{"fleet", m.Fleet},
	}
	sections := make([]Section, 0, len(parts))
	for _, part := range parts {
		data, err := json.Marshal(map[string]any{formatField: m.Format, part.name: part.value})
		if err != nil {
			return nil, fmt.Errorf("encode section %s: %w", part.name, err)
		}
		sections = append(sections, Section{Name: part.name, Hash: HashOf(data), Data: data})
	}
	return sections, nil
}

// Hashes returns the hashes of the sections in order.
func Hashes(sections []Section) []Hash {
	hashes := make([]Hash, 0, len(sections))
	for _, s := range sections {
		hashes = append(hashes, s.Hash)
	}
	return hashes
}

// Join decodes sections into a manifest and verifies the hash of each section.
// The error can be a *MissingSectionError, *CorruptSectionError,
// *UnsupportedFormatError or *document.InvalidError.
func Join(hashes []Hash, data map[Hash][]byte) (*Manifest, error) {
	merged := map[string]json.RawMessage{}
	for _, hash := range hashes {
		section, ok := data[hash]
		if !ok {
			return nil, &MissingSectionError{Hash: hash}
		}
		if HashOf(section) != hash {
			return nil, &CorruptSectionError{Hash: hash}
		}
		if err := json.Unmarshal(section, &merged); err != nil {
			return nil, &CorruptSectionError{Hash: hash, Err: err}
		}
	}
	encoded, err := json.Marshal(merged)
	if err != nil {
		return nil, fmt.Errorf("join sections: %w", err)
	}
	return Decode(encoded)
}

// Missing returns the hashes for which data has no section, sorted.
func Missing(hashes []Hash, data map[Hash][]byte) []Hash {
	var missing []Hash
	for _, hash := range hashes {
		if _, ok := data[hash]; !ok {
			missing = append(missing, hash)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	return missing
}

// MissingSectionError reports that the data of a section is missing.
type MissingSectionError struct{ Hash Hash }

func (e *MissingSectionError) Error() string { return fmt.Sprintf("section %s is missing", e.Hash) }

// CorruptSectionError reports that the data of a section does not match its
// hash or is not valid JSON.
type CorruptSectionError struct {
	Hash Hash
	Err  error
}

func (e *CorruptSectionError) Error() string {
	return fmt.Sprintf("section %s is corrupt: %v", e.Hash, e.Err)
}

// Unwrap returns the JSON error, or nil if the hash does not match.
func (e *CorruptSectionError) Unwrap() error { return e.Err }
