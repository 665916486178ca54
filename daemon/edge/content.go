package edge

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/ident"
)

// contentHash identifies what a request asks for. The repeats of a request, by this system or by its caller,
// have the same one at every daemon, although a caller's repeats have IDs of their own.
type contentHash uint64

// String returns the hash as logs name it.
func (h contentHash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// contentOf returns the hash of a request's content. What differs between the repeats of a request is left
// out: its ID, its deadline, and the event after which a stream is resumed.
func contentOf(r *Request, workspace ident.Workspace) contentHash {
	d := contentDigest{xxhash.New()}
	for _, text := range []string{string(workspace), r.Method, r.Host, r.Target, r.Prompt.Model} {
		d.addString(text)
	}
	d.addNumber(uint64(len(r.Prompt.Parts)))
	for _, part := range r.Prompt.Parts {
		d.addNumber(part)
	}
	d.addNumber(uint64(r.Body.Len()))
	for _, piece := range r.Body {
		// Writing to a digest never fails.
		_, _ = d.Write(piece)
	}
	return contentHash(d.Sum64())
}

// contentDigest hashes fields in such a way that no two lists of fields give the same bytes.
type contentDigest struct{ *xxhash.Digest }

func (d contentDigest) addNumber(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
}

func (d contentDigest) addString(s string) {
	d.addNumber(uint64(len(s)))
	_, _ = d.WriteString(s)
}
