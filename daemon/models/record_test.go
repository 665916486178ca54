package models_test

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
)

// BenchmarkRecord reports the encoded size in bytes of the records of long
// requests: the size of the complete record that is stored when a request is
// accepted, without its prompt, and the size of a renewal per emitted token.
func BenchmarkRecord(b *testing.B) {
	prompt := strings.Repeat("manifest ", 7500)
	whole := &requestv1.PutRequest{Records: []*requestv1.Record{{
		RequestId: "regina-1~0011223344556677.0011223344556677", Workspace: "desk", Class: "review", Model: "geranium-llm",
		Prompt: prompt, MaxTokens: 2500, Owner: "regina-1~0011223344556677", Epoch: 1, DeadlineLeftMs: 3_600_000,
	}}}
	renewal := &requestv1.PutRequest{}
	const records, tokens = 50, 80
	for range records {
		r := &requestv1.Record{
			RequestId: whole.Records[0].RequestId, Owner: whole.Records[0].Owner, Epoch: 1,
			EmittedFrom: 1000, Runner: "runner-03", MayHaveRun: true,
		}
		for i := range tokens {
			r.Emitted = append(r.Emitted, fmt.Sprintf("tok%02d", i))
		}
		renewal.Records = append(renewal.Records, r)
	}
	for b.Loop() {
		if _, err := proto.Marshal(renewal); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(whole)-len(prompt)), "B/record-besides-prompt")
	b.ReportMetric(float64(proto.Size(renewal))/(records*tokens), "B/token")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*records*tokens), "ns/token")
}
