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

func TestPromptAgreesWithBlocks(t *testing.T) {
	is := is.New(t)
	w := words(2*BlockTokens+3, "a")
	blocks, tokens := Prompt("m", "", strings.Join(w, "  "))
	is.Equal(tokens, len(w))
	is.Equal(blocks, Blocks(Root("m", ""), w))
	is.Equal(len(blocks), 2)
}

func TestHashCoversPrefixModelAndAdapter(t *testing.T) {
	is := is.New(t)
	a := Blocks(Root("m", ""), words(2*BlockTokens, "a"))
	b := Blocks(Root("m", ""), words(2*BlockTokens, "b"))
	is.True(a[1] != b[1]) // the second blocks have the same words, the first ones differ
	is.True(Root("m", "x") != Root("m", ""))
	is.True(Root("mx", "") != Root("m", "x"))
}
