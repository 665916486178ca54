package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func prompt(word string, n int) string { return strings.Repeat(word+" ", n) }

func request(id, text string, maxTokens int) engineapi.GenerateRequest {
	return engineapi.GenerateRequest{RequestID: id, AttemptID: id + "/1", Model: "m", Prompt: text, MaxTokens: maxTokens}
}

// stepUntilIdle steps a core until nothing is due and returns everything that
// it produced.
func stepUntilIdle(c *Core) Result {
	all := Result{}
	for next, ok := c.Next(); ok; next, ok = c.Next() {
		r := c.Step(next)
		all.Lines = append(all.Lines, r.Lines...)
		all.Work = append(all.Work, r.Work...)
	}
	return all
}

func TestAnswerTimeAndPrefixCache(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig("r", "m", "1")
	cfg.PrefillRate, cfg.StepTime, cfg.ChunkTokens = 1000, 10*time.Millisecond, 1000
	c := NewCore(cfg, epoch)
	text := prompt("a", 160)
	is.NoErr(c.Submit(epoch, NewAttempt(request("x", text, 3))))
	lines := stepUntilIdle(c).Lines
	is.Equal(len(lines), 4)
	is.Equal(lines[0].At.Sub(epoch), 160*time.Millisecond)
	is.Equal(lines[2].At.Sub(epoch), 180*time.Millisecond)
	is.Equal(lines[2].Event.Token, Token("m", text, 2))
	is.Equal(lines[3].Event.Offset, 3)

	now := lines[3].At
	is.NoErr(c.Submit(now, NewAttempt(request("y", text+"b", 1))))
	first := stepUntilIdle(c).Lines[0]
	is.Equal(first.Event.CachedTokens, 160)
	is.Equal(first.Event.ComputedTokens, 1)
	is.Equal(first.At.Sub(now), time.Millisecond)
}

func TestPriorityPreemptsRunning(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig("r", "m", "1")
	cfg.MaxBatch, cfg.PreemptRunning = 1, true
	c := NewCore(cfg, epoch)
	is.NoErr(c.Submit(epoch, NewAttempt(request("long", prompt("a", 32), 50))))
	c.Step(epoch.Add(100 * time.Millisecond))
	urgent := request("urgent", prompt("b", 32), 2)
	urgent.Priority = 5
	is.NoErr(c.Submit(epoch.Add(100*time.Millisecond), NewAttempt(urgent)))
	var finished []string
	tokens := 0
	for _, line := range stepUntilIdle(c).Lines {
		if line.Event.Done {
			finished = append(finished, line.Event.RequestID)
		}
		if line.Event.RequestID == "long" && line.Event.Token != "" {
			tokens++
		}
	}
	is.Equal(finished, []string{"urgent", "long"})
	is.Equal(c.Counters().Preempted, 1)
	is.Equal(c.Counters().DecodedTokens, 52) // no output token is decoded twice
}

func TestResumeCountsRecomputedTokens(t *testing.T) {
	is := is.New(t)
	tokenCounter := NewTokenCounter()
	text := prompt("a", 100)
	first := NewCore(DefaultConfig("r1", "m", "1"), epoch)
	is.NoErr(first.Submit(epoch, NewAttempt(request("x", text, 40))))
	r := first.Step(epoch.Add(200 * time.Millisecond))
	tokenCounter.Add(r.Work)
	emitted := len(r.Lines)
	is.True(emitted > 0 && emitted < 40)
	is.Equal(tokenCounter.TokenTotals().Recomputed, 0)

	resume := request("x", text, 40)
	resume.AttemptID, resume.Emitted = "x/2", Tokens("m", text, emitted)
	second := NewCore(DefaultConfig("r2", "m", "1"), epoch)
	is.NoErr(second.Submit(epoch, NewAttempt(resume)))
	rest := stepUntilIdle(second)
	tokenCounter.Add(rest.Work)
	is.Equal(rest.Lines[0].Event.Offset, emitted)
	is.Equal(tokenCounter.TokenTotals(), TokenTotals{Computed: 2*(100+emitted) + 40 - emitted, Recomputed: 100 + emitted, Attempts: 2})
}

func TestImportedCacheIsNotRecomputed(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig("r1", "m", "1")
	cfg.BytesPerToken, cfg.ExportBandwidth = 1000, 1e6
	source := NewCore(cfg, epoch)
	text := prompt("a", 100)
	is.NoErr(source.Submit(epoch, NewAttempt(request("x", text, 40))))
	now := epoch.Add(200 * time.Millisecond)
	emitted := len(source.Step(now).Lines)
	export, err := source.Export(now, "x/1")
	is.NoErr(err)
	is.Equal(export.Tokens, 100+emitted)
	exported, arrives, err := source.StartTransfer(now, export.Handle)
	is.NoErr(err)
	is.Equal(arrives.Sub(now), time.Duration(export.Tokens)*time.Millisecond)

	target := NewCore(DefaultConfig("r2", "m", "1"), epoch)
	imported := target.Import(arrives, exported)
	is.Equal(imported.Tokens, export.Tokens)
	resume := request("x", text, 40)
	resume.AttemptID, resume.Emitted, resume.ImportedHandle = "x/2", Tokens("m", text, emitted), imported.Handle
	is.NoErr(target.Submit(arrives, NewAttempt(resume)))
	stepUntilIdle(target)
	is.Equal(target.Counters().ComputedTokens, 1) // the last input token
	is.Equal(target.cache.privateBlocks, 0)
}

func TestOrdersAndFencing(t *testing.T) {
	is := is.New(t)
	for _, checks := range []bool{true, false} {
		cfg := DefaultConfig("r", "m", "1")
		cfg.ChecksFencing = checks
		c := NewCore(cfg, epoch)
		is.NoErr(c.Order(epoch, engineapi.Order{Kind: engineapi.OrderLoad, Fencing: 7, Model: "n", Version: "2"}))
		attempt := NewAttempt(engineapi.GenerateRequest{AttemptID: "a", Model: "n", Prompt: "p", MaxTokens: 1})
		is.True(c.Submit(epoch, attempt) != nil) // still loading
		now := epoch.Add(cfg.LoadTime)
		is.NoErr(c.Submit(now, attempt))
		err := c.Order(now, engineapi.Order{Kind: engineapi.OrderUnload, Fencing: 6, Model: "n", Version: "2"})
		is.Equal(err != nil, checks)
		is.Equal(c.Counters().StaleOrders, map[bool]int{true: 0, false: 1}[checks])
	}
}

func TestAdapterByNameOrWithVersion(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig("r", "m", "1")
	cfg.Models[0].Adapters = []string{"reviews@12"}
	c := NewCore(cfg, epoch)
	for adapter, served := range map[string]bool{"reviews": true, "reviews@12": true, "reviews@11": false, "rev": false} {
		err := c.Submit(epoch, NewAttempt(engineapi.GenerateRequest{AttemptID: adapter, Model: "m", Adapter: adapter, Prompt: "p", MaxTokens: 1}))
		is.Equal(err == nil, served)
	}
}

func TestLoadReportAndCacheEventsLag(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig("r", "m", "1")
	cfg.DropEveryNthEvent = 3
	c := NewCore(cfg, epoch)
	is.NoErr(c.Submit(epoch, NewAttempt(request("x", prompt("a", 80), 100))))
	now := epoch.Add(300 * time.Millisecond)
	is.Equal(c.Load(now).Running, 0)
	is.Equal(c.Load(now).AgeMillis, int64(300))
	is.Equal(len(c.CacheEvents(now, 0, 0).Events), 0)
	now = epoch.Add(1500 * time.Millisecond)
	is.Equal(c.Load(now).Running, 1)
	var numbers []uint64
	for _, e := range c.CacheEvents(now, 0, 4).Events {
		numbers = append(numbers, e.Sequence)
	}
	is.Equal(numbers, []uint64{1, 2, 4, 5})
}

func TestNoticeEndsEngineAtDeadline(t *testing.T) {
	is := is.New(t)
	c := NewCore(DefaultConfig("r", "m", "1"), epoch)
	is.NoErr(c.Submit(epoch, NewAttempt(request("x", prompt("a", 16), 1000))))
	c.Notice(epoch, epoch.Add(time.Second))
	is.NoErr(c.Submit(epoch.Add(500*time.Millisecond), NewAttempt(request("y", "a", 1))))
	is.Equal(c.Counters().LastAfterNotice, 500*time.Millisecond)
	is.True(c.Load(epoch.Add(600 * time.Millisecond)).Leaving)
	for _, line := range stepUntilIdle(c).Lines {
		is.True(!line.At.After(epoch.Add(time.Second)))
	}
	is.True(c.Dead())
}

// Property: after any sequence of submits, cancels and cache transfers, each
// attempt gets its own tokens in order and exactly one final line, and all
// memory is freed.
func TestCoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig("r", "m", "1")
		cfg.KVBlocks = rapid.IntRange(8, 40).Draw(t, "blocks")
		cfg.MaxBatch = rapid.IntRange(1, 4).Draw(t, "batch")
		cfg.PreemptRunning = rapid.Bool().Draw(t, "preempt")
		cfg.HandleLifetime = time.Second
		c := NewCore(cfg, epoch)
		now := epoch
		next := map[string]int{}
		done := map[string]int{}
		texts := map[string]string{}
		read := func(r Result) {
			for _, line := range r.Lines {
				id := line.Event.AttemptID
				if line.Event.Done {
					done[id]++
					continue
				}
				if want := Token("m", texts[id], next[id]); line.Event.Offset != next[id] || line.Event.Token != want {
					t.Fatalf("%s: got token %d %q, want %d %q", id, line.Event.Offset, line.Event.Token, next[id], want)
				}
				next[id]++
			}
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			read(c.Step(now))
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				c.Cancel(now, fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "victim")))
			case 1:
				if offer, err := c.Export(now, fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "export"))); err == nil {
					exported, _, _ := c.StartTransfer(now, offer.Handle)
					c.Import(now, exported)
				}
			default:
				id := fmt.Sprint(i)
				text := prompt(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "word"), rapid.IntRange(0, 120).Draw(t, "words"))
				max := rapid.IntRange(0, 40).Draw(t, "max")
				emitted := rapid.IntRange(0, max).Draw(t, "emitted")
				a := NewAttempt(engineapi.GenerateRequest{RequestID: id, AttemptID: id, Model: "m", Prompt: text, Emitted: Tokens("m", text, emitted), MaxTokens: max, Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
				if c.Submit(now, a) == nil {
					texts[id], next[id] = text, emitted
				}
			}
		}
		read(stepUntilIdle(c))
		for id := range texts {
			if done[id] != 1 {
				t.Fatalf("attempt %s: got %d final lines, want 1", id, done[id])
			}
		}
		c.Step(c.now.Add(2 * time.Second))
		if c.cache.free() != cfg.KVBlocks || c.cache.privateBlocks != 0 {
			t.Fatalf("leaked memory: %d of %d blocks are free, %d are private", c.cache.free(), cfg.KVBlocks, c.cache.privateBlocks)
		}
	})
}

// BenchmarkCore measures the cost per generated token of 300 engines in
// virtual time, with full batches and prompts that share half of their tokens
// as a prefix.
func BenchmarkCore(b *testing.B) {
	const engines = 300
	shared := prompt("shared", 512)
	tokens := 0
	for b.Loop() {
		for i := range engines {
			c := NewCore(DefaultConfig(fmt.Sprint(i), "m", "1"), epoch)
			for j := range 32 {
				if err := c.Submit(epoch, NewAttempt(request(fmt.Sprint(j), shared+prompt(fmt.Sprint(j), 512), 128))); err != nil {
					b.Fatal(err)
				}
			}
			for next, ok := c.Next(); ok; next, ok = c.Next() {
				tokens += len(c.Step(next).Lines)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
}
