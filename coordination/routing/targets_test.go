package routing

import (
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/view"
)

func TestTargetsSubtractReportedAndOwnLoad(t *testing.T) {
	is := is.New(t)
	tb := newTable(4)
	list := runners(4)
	list[1].State = view.Leaving
	tb.SetRunners(start, list)
	tb.SetEjected("r00002", true)
	c, err := tb.Pick(start, &Request{Model: "m", PromptTokens: 1000, OutputTokens: 600})
	is.NoErr(err)
	before := tb.Targets()
	is.Equal(len(before), 2)
	tb.Dispatch(start, c, &Request{Model: "m", PromptTokens: 1000, OutputTokens: 600})
	for i, after := range tb.Targets() {
		if after.Runner != c.Runner {
			is.Equal(after, before[i])
			continue
		}
		is.Equal(after.Slots, before[i].Slots-1)
		is.Equal(after.FreeTokens, before[i].FreeTokens-1600)
		is.Equal(after.QueuedTokens, 1000)
	}
}
