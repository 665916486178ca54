// Package prefixhash computes the hashes of prompt prefixes in the same way as
// the cache events of the engines. The tokens of a prompt, which are its
// words, are divided into blocks of BlockTokens. The hash of each complete
// block covers all blocks before it, so that two prompts have a block hash in
// common only if they share the whole prefix up to the end of that block.
//
// The hash of a block is the xxHash64 of the hash of the previous block, as
// eight little-endian bytes, followed by each word of the block with a zero
// byte after it. The hash before the first block is Root(model, adapter).
package prefixhash

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block.
const BlockTokens = 16

var separator = []byte{0}

// Root returns the hash before the first block of a prompt. The adapter is
// empty if the model is used without one.
func Root(model, adapter string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeWord(&d, model)
	writeWord(&d, adapter)
	return d.Sum64()
}

// Next returns the hash of a block from the hash of the previous block.
func Next(previous uint64, words []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeHash(&d, previous)
	for _, w := range words {
		writeWord(&d, w)
	}
	return d.Sum64()
}

// Blocks returns the hash of every complete block of BlockTokens words. Each
// hash covers root and all words up to the end of its block.
func Blocks(root uint64, words []string) []uint64 {
	blocks := make([]uint64, 0, len(words)/BlockTokens)
	for len(words) >= BlockTokens {
		root = Next(root, words[:BlockTokens])
		blocks = append(blocks, root)
		words = words[BlockTokens:]
	}
	return blocks
}

// Prompt splits a prompt into words at white space and counts each word as one
// token. It returns the hash of every complete block of BlockTokens words, and
// the number of words in the prompt.
func Prompt(model, adapter, prompt string) (blocks []uint64, tokens int) {
	var d xxhash.Digest
	hash := Root(model, adapter)
	for word := range strings.FieldsSeq(prompt) {
		if tokens%BlockTokens == 0 {
			d.Reset()
			writeHash(&d, hash)
		}
		writeWord(&d, word)
		tokens++
		if tokens%BlockTokens == 0 {
			hash = d.Sum64()
			blocks = append(blocks, hash)
		}
	}
	return blocks, tokens
}

func writeHash(d *xxhash.Digest, hash uint64) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], hash)
	d.Write(buf[:])
}

func writeWord(d *xxhash.Digest, word string) {
	d.WriteString(word)
	d.Write(separator)
}
