package streamversion

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
)

const (
	// SavedParts is the number of keys that hold saved records, and PartLength the time of day that each
	// covers before the next one is written. A record is therefore kept for SavedParts-1 times PartLength
	// at least, longer than a stream lasts.
	SavedParts = 32
	PartLength = time.Second
	// maxPartStreams bounds the records of one part, and with that the size of a value.
	maxPartStreams = 40_000
	streamBytes    = 8
)

// Saved holds the records that one daemon, the saver, writes into the key-value service for all, so that
// they outlive the loss of all daemons. The records of one stretch of time are a part, which is written
// again as long as it grows.
type Saved struct {
	parts map[int64]*SavedPart
}

// SavedPart is a part in its stored form.
type SavedPart struct {
	// Number counts the parts since the Unix epoch.
	Number int64 `json:"part"`
	// Streams holds eight bytes for each stream, by the version that began it.
	Streams map[canary.Version][]byte `json:"streams"`

	known map[Stream]bool
	// unwritten is the number of records that have come since TakeChanged returned the part.
	unwritten int
}

// NewSaved returns an empty set of records.
func NewSaved() *Saved { return &Saved{parts: map[int64]*SavedPart{}} }

// Add adds a record at a time of day.
func (s *Saved) Add(at time.Time, stream Stream, v canary.Version) {
	s.part(at.UnixMilli()/PartLength.Milliseconds()).add(stream, v)
}

// part returns the part with a number, and forgets those whose keys later ones have taken.
func (s *Saved) part(number int64) *SavedPart {
	p := s.parts[number]
	if p == nil {
		p = &SavedPart{Number: number, Streams: map[canary.Version][]byte{}, known: map[Stream]bool{}}
		s.parts[number] = p
		maps.DeleteFunc(s.parts, func(n int64, _ *SavedPart) bool { return n <= number-SavedParts })
	}
	return p
}

func (p *SavedPart) add(stream Stream, v canary.Version) {
	if p.known[stream] || len(p.known) >= maxPartStreams {
		return
	}
	p.known[stream] = true
	p.unwritten++
	p.Streams[v] = binary.BigEndian.AppendUint64(p.Streams[v], uint64(stream))
}

// TakeChanged returns the newest part that has grown since it was returned last, nil if none has.
func (s *Saved) TakeChanged() *SavedPart {
	var newest *SavedPart
	for _, p := range s.parts {
		if p.unwritten > 0 && (newest == nil || p.Number > newest.Number) {
			newest = p
		}
	}
	if newest != nil {
		newest.unwritten = 0
	}
	return newest
}

// Retry makes TakeChanged return a part again.
func (s *Saved) Retry(number int64) {
	if p := s.parts[number]; p != nil {
		p.unwritten = len(p.known)
	}
}

// Unwritten returns the number of records that have come since TakeChanged returned their parts.
func (s *Saved) Unwritten() int {
	n := 0
	for _, p := range s.parts {
		n += p.unwritten
	}
	return n
}

// Merge takes up a part that another daemon has stored, which this daemon would otherwise write over.
func (s *Saved) Merge(stored *SavedPart) {
	p := s.part(stored.Number)
	unwritten := p.unwritten
	for stream, v := range stored.Records() {
		p.add(stream, v)
	}
	p.unwritten = unwritten
}

// Records returns the records of a part. Of a damaged part the whole records count.
func (p *SavedPart) Records() map[Stream]canary.Version {
	records := map[Stream]canary.Version{}
	for v, streams := range p.Streams {
		for chunk := range slices.Chunk(streams, streamBytes) {
			if len(chunk) == streamBytes {
				records[Stream(binary.BigEndian.Uint64(chunk))] = v
			}
		}
	}
	return records
}
