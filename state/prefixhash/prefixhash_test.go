package prefixhash

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func words(n int, first string) []string {
	w := make([]string, n)
	for i := range w {
		w[i] = "w"
	}
	w[0] = first
	return w
}

func TestPromptHashesAgreeWithBlockHashes(t *testing.T) {
	is := is.New(t)
	w := words(2*BlockTokens+3, "a")
	blocks, tokens := PromptHashes("m", "", strings.Join(w, "  "))
	is.Equal(tokens, len(w))
	is.Equal(blocks, BlockHashes(RootHash("m", ""), w))
	is.Equal(len(blocks), 2)
}

func TestHashCoversPrefixModelAndAdapter(t *testing.T) {
	is := is.New(t)
	a := BlockHashes(RootHash("m", ""), words(2*BlockTokens, "a"))
	b := BlockHashes(RootHash("m", ""), words(2*BlockTokens, "b"))
	is.True(a[1] != b[1]) // same words in the second block, another first one
	is.True(RootHash("m", "x") != RootHash("m", ""))
	is.True(RootHash("mx", "") != RootHash("m", "x"))
}
