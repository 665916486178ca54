package overhead

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/transport/gateway"
)

const (
	waitingStreams = 1000
	settleTime     = 3 * time.Second
	waitingClass   = "bulletins"
	promptWords    = 200
)

// memory is what one open stream takes, the caller's end included: deferrable
// requests wait at the gateway while the engine refuses everything.
func (s *system) memory(ctx context.Context) float64 {
	for _, r := range s.standins.Runners() {
		if r.Engine != nil {
			r.Engine.SetFaults(engine.Faults{Refuse: true})
		}
	}
	before := inUse()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range waitingStreams {
		wg.Go(func() {
			// It ends with the cancellation; how is of no interest here.
			_, _ = s.client.Stream(ctx, gateway.CompletionRequest{
				Model: "asistente", Messages: []gateway.Message{{Role: "user", Content: longPrompt(i)}},
				MaxTokens: longTokens, ServiceTier: waitingClass,
			})
		})
	}
	time.Sleep(settleTime)
	after := inUse()
	cancel()
	wg.Wait()
	return float64(after-before) / waitingStreams
}

func longPrompt(i int) string {
	text := fmt.Sprintf("case %d", i)
	for w := range promptWords {
		text += fmt.Sprintf(" w%d", w)
	}
	return text
}

func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
