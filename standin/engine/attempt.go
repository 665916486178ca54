package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Finish reasons of a stream's last line.
const (
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

const tokenBase = 36

// OutputSeed is what the output tokens of a prompt to a model are made from.
func OutputSeed(model, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(model)
	d.Write([]byte{0})
	d.WriteString(prompt)
	return d.Sum64()
}

// TokenFromSeed is output token i, from 0, of the prompt with the given seed.
func TokenFromSeed(seed uint64, i int) string {
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return strconv.FormatUint(x>>24, tokenBase)
}

// Token is output token i, from 0, of a prompt to a model. It depends on
// nothing else, so a checker can tell whole answers from mixed ones.
func Token(model, prompt string, i int) string {
	return TokenFromSeed(OutputSeed(model, prompt), i)
}

// Tokens is the first n output tokens of a prompt to a model.
func Tokens(model, prompt string, n int) []string {
	seed := OutputSeed(model, prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = TokenFromSeed(seed, i)
	}
	return tokens
}

// Attempt is a generate request as the core sees it. A benchmark may fill it
// without any prompt text.
type Attempt struct {
	RequestID string
	AttemptID string
	Model     string
	Adapter   string
	// Seed makes the output; see OutputSeed.
	Seed uint64
	// PromptTokens and EmittedTokens are the lengths of what is computed
	// before the first new token.
	PromptTokens  int
	EmittedTokens int
	// Blocks are the prefix hashes of the whole blocks of prompt and emitted
	// tokens, and Tail the words after them.
	Blocks []uint64
	Tail   []string
	// MaxTokens bounds the output, emitted tokens included.
	MaxTokens int
	// Priority orders the queue; higher first.
	Priority int
	// ImportedHandle names a cache that was imported for this attempt.
	ImportedHandle string
}

// NewAttempt reads a generate request.
func NewAttempt(r engineapi.GenerateRequest) Attempt {
	words := strings.Fields(r.Prompt)
	prompt := len(words)
	words = append(words, r.Emitted...)
	completeBlockTokens := len(words) - len(words)%prefixhash.BlockTokens
	return Attempt{
		RequestID:      r.RequestID,
		AttemptID:      r.AttemptID,
		Model:          r.Model,
		Adapter:        r.Adapter,
		Seed:           OutputSeed(r.Model, r.Prompt),
		PromptTokens:   prompt,
		EmittedTokens:  len(r.Emitted),
		Blocks:         prefixhash.Blocks(prefixhash.Root(r.Model, r.Adapter), words),
		Tail:           words[completeBlockTokens:],
		MaxTokens:      r.MaxTokens,
		Priority:       r.Priority,
		ImportedHandle: r.ImportedHandle,
	}
}

func (a *Attempt) knownTokens() int { return a.PromptTokens + a.EmittedTokens }
