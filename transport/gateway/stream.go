package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// answer is what the forms of one request's output share.
type answer struct {
	object    string
	model     string
	id        ident.RequestID
	workspace ident.Workspace
	// fresh requests were accepted on this connection.
	fresh bool
}

// CompletionChoice is the one choice of an answer or of a chunk.
type CompletionChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// CompletionUsage counts tokens.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is a whole answer, or one chunk of a streamed one.
type Completion struct {
	ID      ident.RequestID    `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model,omitempty"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

func (a answer) whole(text, finish string, tokens int) Completion {
	choice := CompletionChoice{FinishReason: &finish}
	if a.object == objectText {
		choice.Text = text
	} else {
		choice.Message = &Message{Role: "assistant", Content: text}
	}
	return Completion{
		ID: a.id, Object: a.object, Model: a.model,
		Choices: []CompletionChoice{choice},
		Usage:   &CompletionUsage{CompletionTokens: tokens},
	}
}

func (a answer) chunk(e call.Event) Completion {
	choice := CompletionChoice{}
	if e.Done {
		choice.FinishReason = &e.FinishReason
	}
	if a.object == objectText {
		choice.Text = e.Token
		return Completion{ID: a.id, Object: a.object, Model: a.model, Choices: []CompletionChoice{choice}}
	}
	choice.Delta = &Message{Role: "assistant", Content: e.Token}
	return Completion{ID: a.id, Object: a.object + ".chunk", Model: a.model, Choices: []CompletionChoice{choice}}
}

// whole collects the output and answers with one JSON body.
func (g *Gateway) whole(c *echo.Context, a answer) error {
	var text strings.Builder
	tokens := 0
	finish := ""
	err := g.Models.Read(c.Request().Context(), a.workspace, a.id, 0, func(e call.Event) error {
		if e.Heartbeat {
			return nil
		}
		if e.Done {
			finish = e.FinishReason
			return nil
		}
		text.WriteString(e.Token)
		tokens++
		return nil
	})
	if err != nil {
		return err
	}
	if err := c.JSON(http.StatusOK, a.whole(text.String(), finish, tokens)); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	g.answered(a.workspace, tokens)
	return nil
}

func (g *Gateway) answered(ws ident.Workspace, tokens int) {
	g.count("answered_whole.model")
	g.Usage.Answered(ws, tokens)
}

// stream passes the output on as server-sent events. Each event's id holds the
// offset after it, so that a caller whose connection is lost can go on with
// Last-Event-ID at any gateway.
func (g *Gateway) stream(c *echo.Context, a answer, offset int) error {
	w := newEventWriter(c.Response(), g.Limits.WriteTimeout, g.Limits.Heartbeat)
	defer w.stop()
	if a.fresh {
		// The caller gets the request's id before its first token: if this
		// gateway dies while the request waits, it goes on elsewhere instead of
		// asking anew.
		if err := w.comment(); err != nil {
			return err
		}
	}
	tokens := 0
	err := g.Models.Read(c.Request().Context(), a.workspace, a.id, offset, func(e call.Event) error {
		if e.Heartbeat {
			return w.comment()
		}
		next := e.Offset
		if !e.Done {
			next++
			tokens++
		}
		return w.event(strconv.Itoa(next), a.chunk(e))
	})
	if err != nil {
		return g.endStream(c, w, err)
	}
	if err := w.raw("data: [DONE]\n\n"); err != nil {
		return err
	}
	g.answered(a.workspace, tokens)
	return nil
}

// endStream tells a refusal in the stream if that has begun, since the status
// line has gone out; a stream without [DONE] is not whole.
func (g *Gateway) endStream(c *echo.Context, w *eventWriter, err error) error {
	if !w.begun() {
		return err
	}
	r := refusal.From(err)
	g.countRefusal(c, r)
	return w.named("error", bodyOf(r))
}

// eventWriter writes server-sent events with a deadline on each write, and a
// comment when nothing else was written for a while, so that both ends find a
// connection that has gone silent. It is safe for concurrent use.
type eventWriter struct {
	mu           sync.Mutex
	w            http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	interval     time.Duration
	timer        *time.Timer
	started      bool
	stopped      bool
}

func newEventWriter(w http.ResponseWriter, writeTimeout, interval time.Duration) *eventWriter {
	ew := &eventWriter{
		w: w, controller: http.NewResponseController(w),
		writeTimeout: writeTimeout, interval: interval,
	}
	ew.mu.Lock()
	defer ew.mu.Unlock()
	ew.timer = time.AfterFunc(interval, ew.idle)
	return ew
}

func (ew *eventWriter) idle() {
	// The next event finds a broken connection by itself.
	_ = ew.comment()
}

func (ew *eventWriter) stop() {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	ew.stopped = true
	ew.timer.Stop()
}

func (ew *eventWriter) begun() bool {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	return ew.started
}

func (ew *eventWriter) comment() error { return ew.raw(": heartbeat\n\n") }

func (ew *eventWriter) event(id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("marshal event: %w", err)
	}
	return ew.raw("id: " + id + "\ndata: " + string(data) + "\n\n")
}

func (ew *eventWriter) named(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("marshal event: %w", err)
	}
	return ew.raw("event: " + name + "\ndata: " + string(data) + "\n\n")
}

func (ew *eventWriter) raw(text string) error {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	if ew.stopped {
		return nil
	}
	ew.begin()
	// A caller that no longer reads would hold the request's goroutine for
	// good: its socket buffer fills and writes block. The deadline ends that.
	if err := ew.controller.SetWriteDeadline(time.Now().Add(ew.writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := ew.w.Write([]byte(text)); err != nil {
		return &CallerGoneError{Err: err}
	}
	if err := ew.controller.Flush(); err != nil {
		return &CallerGoneError{Err: err}
	}
	ew.timer.Reset(ew.interval)
	return nil
}

func (ew *eventWriter) begin() {
	if ew.started {
		return
	}
	ew.started = true
	h := ew.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	ew.w.WriteHeader(http.StatusOK)
}

// CallerGoneError says that the caller's connection takes no more.
type CallerGoneError struct{ Err error }

func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }
