package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
)

// Hash is the SHA-256 of a section's bytes, in lower-case hex.
type Hash string

// HashOf returns the content hash of a section's bytes.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// Section is one separately stored part of a manifest.
type Section struct {
	Name string
	Hash Hash
	Data []byte
}

const formatField = "format"

// Split encodes the manifest as sections in a fixed order. Equal content has
// equal bytes and so the same hash.
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

// Hashes lists the sections' hashes in order.
func Hashes(sections []Section) []Hash {
	hashes := make([]Hash, 0, len(sections))
	for _, s := range sections {
		hashes = append(hashes, s.Hash)
	}
	return hashes
}

// Join decodes sections into one manifest. It verifies every hash; the errors
// are *MissingSectionError, *CorruptSectionError, *UnsupportedFormatError and
// *document.InvalidError.
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

// Missing lists the hashes that data lacks, sorted.
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

// MissingSectionError says that a section's bytes are not there.
type MissingSectionError struct{ Hash Hash }

func (e *MissingSectionError) Error() string { return fmt.Sprintf("section %s is missing", e.Hash) }

// CorruptSectionError says that a section's bytes do not fit its hash, or are
// no JSON.
type CorruptSectionError struct {
	Hash Hash
	Err  error
}

func (e *CorruptSectionError) Error() string {
	return fmt.Sprintf("section %s is corrupt: %v", e.Hash, e.Err)
}

// Unwrap returns the cause; nil if only the hash differs.
func (e *CorruptSectionError) Unwrap() error { return e.Err }
