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

// completionResponse is what the forms of one request's output share.
type completionResponse struct {
	object    string
	model     string
	id        ident.RequestID
	workspace ident.Workspace
	// acceptedHere requests were accepted on this connection.
	acceptedHere bool
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

func (a completionResponse) fullResponse(text, finish string, tokens int) Completion {
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

func (a completionResponse) chunk(e call.Event) Completion {
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

// fullResponse collects the output and answers with one JSON body.
func (g *Gateway) fullResponse(c *echo.Context, a completionResponse) error {
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
	if err := c.JSON(http.StatusOK, a.fullResponse(text.String(), finish, tokens)); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	g.countAnswered(a.workspace, tokens)
	return nil
}

func (g *Gateway) countAnswered(ws ident.Workspace, tokens int) {
	g.incrementCounter("answered_whole.model")
	g.Usage.Answered(ws, tokens)
}

// writeStream passes the output on as server-sent events. Each event's id holds the
// offset after it, so that a caller whose connection is lost can go on with
// Last-Event-ID at any gateway.
func (g *Gateway) writeStream(c *echo.Context, a completionResponse, offset int) error {
	w := newEventWriter(c.Response(), g.Limits.WriteTimeout, g.Limits.Heartbeat)
	defer w.stop()
	if a.acceptedHere {
		// The caller gets the request's id before its first token: if this
		// gateway dies while the request waits, it goes on elsewhere instead of
		// asking anew.
		if err := w.writeHeartbeat(); err != nil {
			return err
		}
	}
	tokens := 0
	err := g.Models.Read(c.Request().Context(), a.workspace, a.id, offset, func(e call.Event) error {
		if e.Heartbeat {
			return w.writeHeartbeat()
		}
		next := e.Offset
		if !e.Done {
			next++
			tokens++
		}
		return w.writeEvent(strconv.Itoa(next), a.chunk(e))
	})
	if err != nil {
		return g.writeStreamError(c, w, err)
	}
	if err := w.write("data: [DONE]\n\n"); err != nil {
		return err
	}
	g.countAnswered(a.workspace, tokens)
	return nil
}

// writeStreamError tells a refusal in the stream if that has begun, since the status
// line has gone out; a stream without [DONE] is not whole.
func (g *Gateway) writeStreamError(c *echo.Context, w *eventWriter, err error) error {
	if !w.hasStarted() {
		return err
	}
	r := refusal.From(err)
	g.countRefusal(c, r)
	return w.writeNamedEvent("error", errorBody(r))
}

// eventWriter writes server-sent events with a deadline on each write, and a
// comment when nothing else was written for a while, so that both ends find a
// connection that has gone silent. It is safe for concurrent use.
type eventWriter struct {
	mu                sync.Mutex
	w                 http.ResponseWriter
	controller        *http.ResponseController
	writeTimeout      time.Duration
	heartbeatInterval time.Duration
	timer             *time.Timer
	started           bool
	stopped           bool
}

func newEventWriter(w http.ResponseWriter, writeTimeout, heartbeatInterval time.Duration) *eventWriter {
	ew := &eventWriter{
		w: w, controller: http.NewResponseController(w),
		writeTimeout: writeTimeout, heartbeatInterval: heartbeatInterval,
	}
	ew.mu.Lock()
	defer ew.mu.Unlock()
	ew.timer = time.AfterFunc(heartbeatInterval, ew.onIdle)
	return ew
}

func (ew *eventWriter) onIdle() {
	// The next event finds a broken connection by itself.
	_ = ew.writeHeartbeat()
}

func (ew *eventWriter) stop() {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	ew.stopped = true
	ew.timer.Stop()
}

func (ew *eventWriter) hasStarted() bool {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	return ew.started
}

func (ew *eventWriter) writeHeartbeat() error { return ew.write(": heartbeat\n\n") }

func (ew *eventWriter) writeEvent(id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("marshal event: %w", err)
	}
	return ew.write("id: " + id + "\ndata: " + string(data) + "\n\n")
}

func (ew *eventWriter) writeNamedEvent(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("marshal event: %w", err)
	}
	return ew.write("event: " + name + "\ndata: " + string(data) + "\n\n")
}

func (ew *eventWriter) write(text string) error {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	if ew.stopped {
		return nil
	}
	ew.writeHeader()
	// A caller that no longer reads would hold the request's goroutine for
	// good: its socket buffer fills and writes block. The deadline ends that.
	if err := ew.controller.SetWriteDeadline(time.Now().Add(ew.writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := ew.w.Write([]byte(text)); err != nil {
		return &CallerDisconnectedError{Err: err}
	}
	if err := ew.controller.Flush(); err != nil {
		return &CallerDisconnectedError{Err: err}
	}
	ew.timer.Reset(ew.heartbeatInterval)
	return nil
}

func (ew *eventWriter) writeHeader() {
	if ew.started {
		return
	}
	ew.started = true
	h := ew.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	ew.w.WriteHeader(http.StatusOK)
}

// CallerDisconnectedError says that the caller's connection takes no more.
type CallerDisconnectedError struct{ Err error }

func (e *CallerDisconnectedError) Error() string { return fmt.Sprintf("caller gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Err }
