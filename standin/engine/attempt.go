package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Finish reasons in a stream's final line.
const (
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

const tokenBase = 36

// OutputSeed returns the seed that determines the output tokens of a prompt
// to a model.
func OutputSeed(model, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(model)
	d.Write([]byte{0})
	d.WriteString(prompt)
	return d.Sum64()
}

// TokenFromSeed returns output token i, counted from 0, of the prompt with
// the given seed.
func TokenFromSeed(seed uint64, i int) string {
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return strconv.FormatUint(x>>24, tokenBase)
}

// Token returns output token i, counted from 0, of a prompt to a model. The
// token depends on nothing else, so a test can detect lines of another
// answer, and missing or repeated tokens.
func Token(model, prompt string, i int) string {
	return TokenFromSeed(OutputSeed(model, prompt), i)
}

// Tokens returns the first n output tokens of a prompt to a model.
func Tokens(model, prompt string, n int) []string {
	seed := OutputSeed(model, prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = TokenFromSeed(seed, i)
	}
	return tokens
}

// Attempt is a generate request in the form that Core takes. It holds lengths
// and hashes in place of the text, so a benchmark can create one without a
// prompt.
type Attempt struct {
	RequestID string
	AttemptID string
	Model     string
	Adapter   string
	// Seed determines the output tokens; see OutputSeed.
	Seed uint64
	// PromptTokens and EmittedTokens are the lengths of the prompt and of the
	// output that earlier attempts of the same request emitted. Both are
	// prefilled.
	PromptTokens  int
	EmittedTokens int
	// Blocks are the prefix hashes of the complete blocks of prompt and
	// emitted tokens, and Tail holds the tokens after them.
	Blocks []uint64
	Tail   []string
	// MaxTokens bounds the output, including the emitted tokens.
	MaxTokens int
	// Priority orders the queue, highest first.
	Priority int
	// ImportedHandle names a cache that was imported for this attempt.
	ImportedHandle string
}

// NewAttempt converts a generate request.
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
