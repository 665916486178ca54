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

// completionResponse holds the properties of a request from which its answer is built, streamed or
// not.
type completionResponse struct {
	object    string
	model     string
	id        ident.RequestID
	workspace ident.Workspace
	// acceptedHere is set if the request was accepted on this connection, not resumed.
	acceptedHere bool
}

// CompletionChoice is the only choice in a completion or a chunk.
type CompletionChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// CompletionUsage holds the token count of a completion.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is a complete answer or one chunk of a streamed answer.
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

// fullResponse collects the complete output and writes it as one JSON body.
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

// writeStream writes the output as server-sent events. Each event's ID is the offset of the next
// token, so that a caller that loses its connection can resume at any gateway with Last-Event-ID.
func (g *Gateway) writeStream(c *echo.Context, a completionResponse, offset int) error {
	w := newEventWriter(c.Response(), g.Limits.WriteTimeout, g.Limits.Heartbeat)
	defer w.stop()
	if a.acceptedHere {
		// The heartbeat sends the headers with the request's ID before the first token. If this
		// gateway crashes while the request waits, the caller can resume it elsewhere instead of
		// submitting it again.
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

// writeStreamError sends a refusal as an event if the stream has started, because the status line
// has been sent by then. A stream without [DONE] is incomplete.
func (g *Gateway) writeStreamError(c *echo.Context, w *eventWriter, err error) error {
	if !w.hasStarted() {
		return err
	}
	r := refusal.From(err)
	g.countRefusal(c, r)
	return w.writeNamedEvent("error", errorBody(r))
}

// eventWriter writes server-sent events with a timeout for each write. If nothing has been written
// for heartbeatInterval, it writes a comment, so that both ends detect a dead connection. It is
// safe for concurrent use.
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
	// An error is ignored, because the next event meets the broken connection as well.
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
	// If a caller stops reading, its socket buffer fills and writes block. Without a deadline the
	// request's goroutine would block forever.
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

// CallerDisconnectedError says that writing to the caller's connection failed.
type CallerDisconnectedError struct{ Err error }

func (e *CallerDisconnectedError) Error() string { return fmt.Sprintf("caller gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Err }
