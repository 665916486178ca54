// Package prefixhash names prompt prefixes the way the engines' cache events
// do: a prompt's tokens (its words) are cut into blocks of BlockTokens, and
// each whole block's hash covers all blocks before it. Two prompts share a
// block hash only where they share the whole prefix up to it.
//
// The hash of a block is xxhash64 over the previous block's hash, as eight
// little-endian bytes, and then each of the block's words followed by one zero
// byte. The hash before the first block is Root(model, adapter).
package prefixhash

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens that one block covers.
const BlockTokens = 16

var separator = []byte{0}

// RootHash is the hash before the first block of a prompt to a model with an
// adapter; adapter is empty for the model alone.
func RootHash(model, adapter string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeWord(&d, model)
	writeWord(&d, adapter)
	return d.Sum64()
}

// NextBlockHash is the hash of the block that follows the one with hash previous.
func NextBlockHash(previous uint64, words []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeHash(&d, previous)
	for _, w := range words {
		writeWord(&d, w)
	}
	return d.Sum64()
}

// BlockHashes hashes every whole block of words.
func BlockHashes(root uint64, words []string) []uint64 {
	blocks := make([]uint64, 0, len(words)/BlockTokens)
	for len(words) >= BlockTokens {
		root = NextBlockHash(root, words[:BlockTokens])
		blocks = append(blocks, root)
		words = words[BlockTokens:]
	}
	return blocks
}

// PromptHashes hashes every whole block of a prompt and returns its length in tokens.
func PromptHashes(model, adapter, prompt string) (blocks []uint64, tokens int) {
	var d xxhash.Digest
	hash := RootHash(model, adapter)
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
