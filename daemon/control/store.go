package control

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Keys and format of the control plane's data in the key-value service.
const (
	headKey            = "config/head"
	sectionPrefix      = "config/sections/"
	registrationPrefix = "daemons/"
	// sectionHeaderEnd separates a section's write time from its bytes.
	sectionHeaderEnd = '\n'
	// minSectionAge is how long a section is kept after its last write even if
	// no configuration references it.
	minSectionAge = 24 * time.Hour
	// sectionRefreshAfter is the age from which a submission rewrites a stored
	// section that it references; see storeSection.
	sectionRefreshAfter = time.Hour
)

func sectionKey(hash manifest.Hash) string { return sectionPrefix + string(hash) }

func registrationKey(id ident.DaemonID) string { return registrationPrefix + string(id) }

// encodeSection prefixes a section's bytes with the write time. The collection
// of unreferenced sections uses it to skip sections that a submission has just
// written but not yet referenced.
func encodeSection(now time.Time, data []byte) []byte {
	header := strconv.FormatInt(now.UnixMilli(), 10) + string(sectionHeaderEnd)
	return append([]byte(header), data...)
}

// decodeSection returns a stored section's write time and bytes.
func decodeSection(key string, value []byte) (time.Time, []byte, error) {
	header, data, found := bytes.Cut(value, []byte{sectionHeaderEnd})
	millis, err := strconv.ParseInt(string(header), 10, 64)
	if !found || err != nil {
		return time.Time{}, nil, &MalformedSectionError{Key: key}
	}
	return time.UnixMilli(millis), data, nil
}

// MalformedSectionError reports that a stored section cannot be decoded.
type MalformedSectionError struct{ Key string }

func (e *MalformedSectionError) Error() string { return fmt.Sprintf("malformed section at %q", e.Key) }

// fetchFromStore reads sections from the key-value service. It omits sections
// that are not stored.
func (c *Control) fetchFromStore(ctx context.Context, hashes []manifest.Hash) (map[manifest.Hash][]byte, error) {
	sections := map[manifest.Hash][]byte{}
	for _, hash := range hashes {
		c.counters.storeReads.Inc(1)
		entry, err := c.cfg.Store.Get(ctx, sectionKey(hash))
		c.recordStoreResult(err)
		if err != nil {
			return sections, fmt.Errorf("read section %s: %w", hash, err)
		}
		if entry.Revision == 0 {
			continue
		}
		_, data, err := decodeSection(entry.Key, entry.Value)
		if err != nil {
			return sections, err
		}
		sections[hash] = data
	}
	return sections, nil
}
