package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/transport/gateway"
)

// Result is the complete answer to a streamed request.
type Result struct {
	RequestID string
	Tokens    []string
	// FirstToken is the time from the start of the call to the first token.
	FirstToken time.Duration
	// LongestGap is the longest time between two consecutive tokens.
	LongestGap time.Duration
	// Resumed is the number of times the stream was resumed on another
	// connection.
	Resumed      int
	FinishReason string
}

// stream holds the progress of one request across connections.
type stream struct {
	c           *Client
	result      Result
	startedAt   time.Time
	lastTokenAt time.Time
	body        []byte
}

// Stream sends a chat completion request and collects its streamed answer. If a
// connection breaks, it resumes the stream at another gateway. If the request
// is refused, the error is a *RefusedError.
func (c *Client) Stream(ctx context.Context, r gateway.CompletionRequest) (Result, error) {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return Result{}, fmt.Errorf("marshal request: %w", err)
	}
	s := &stream{c: c, body: body, startedAt: time.Now()}
	err = s.run(ctx)
	return s.result, err
}

func (s *stream) run(ctx context.Context) error {
	lastProgress := time.Now()
	for {
		tokensBefore := len(s.result.Tokens)
		err := s.connect(ctx)
		var refused *RefusedError
		if err == nil || ctx.Err() != nil {
			return err
		}
		if errors.As(err, &refused) && !concernsOneGateway(refused) {
			return err
		}
		s.c.expireGateways()
		if len(s.result.Tokens) > tokensBefore {
			lastProgress = time.Now()
		}
		if time.Since(lastProgress) > s.c.c.RetryTimeout {
			return &NoGatewayError{Err: err}
		}
		pause(ctx, minRetryDelay)
	}
}

// concernsOneGateway reports whether a refusal applies only to the gateway that
// sent it, so that another gateway may accept the request.
func concernsOneGateway(r *RefusedError) bool { return r.Code == "draining" || r.Code == "not_ready" }

// connect sends the request or, if it was accepted before, resumes its stream.
// It returns when the stream ends or the connection breaks.
func (s *stream) connect(ctx context.Context) error {
	base, err := s.c.chooseGateway(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// If a middlebox has dropped the state of a connection, the connection
	// carries no data and reports no error, so a timer must end it.
	idleTimer := time.AfterFunc(acceptTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := s.send(ctx, base)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	idleTimer.Reset(s.c.c.IdleTimeout)
	if id := resp.Header.Get("X-Request-Id"); id != "" {
		s.result.RequestID = id
	}
	return s.read(resp, func() { idleTimer.Reset(s.c.c.IdleTimeout) })
}

func (s *stream) send(ctx context.Context, base string) (*http.Response, error) {
	if s.result.RequestID == "" {
		return s.c.do(ctx, http.MethodPost, base+"/v1/chat/completions", nil, s.body)
	}
	s.result.Resumed++
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {strconv.Itoa(len(s.result.Tokens))},
	}
	return s.c.do(ctx, http.MethodGet, base+"/v1/requests/"+s.result.RequestID, header, nil)
}

func (s *stream) read(resp *http.Response, onActivity func()) error {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxAnswerBytes)
	event, id := "", ""
	for scanner.Scan() {
		onActivity()
		line := scanner.Text()
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "event":
			event = value
		case "id":
			id = value
		case "data":
			done, err := s.handleData(event, id, value)
			if done || err != nil {
				return err
			}
			event, id = "", ""
		}
	}
	err := scanner.Err()
	return &BrokenError{Err: err}
}

func (s *stream) handleData(event, id, value string) (done bool, err error) {
	if event == "error" {
		var body gateway.ErrorBody
		if err := json.Unmarshal([]byte(value), &body); err != nil {
			return false, &BrokenError{Err: err}
		}
		return true, &RefusedError{ErrorDetail: body.Error}
	}
	if value == "[DONE]" {
		return true, nil
	}
	var chunk gateway.Completion
	if err := json.Unmarshal([]byte(value), &chunk); err != nil || len(chunk.Choices) != 1 {
		return false, &BrokenError{Err: err}
	}
	return false, s.chunk(id, chunk.Choices[0])
}

// OffsetError reports that an event does not directly follow the previous one.
type OffsetError struct {
	Got      string
	Expected int
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("received event %s, expected event %d", e.Got, e.Expected)
}

func (s *stream) chunk(id string, choice gateway.CompletionChoice) error {
	if choice.FinishReason != nil {
		s.result.FinishReason = *choice.FinishReason
		return nil
	}
	if choice.Delta == nil {
		return nil
	}
	if id != strconv.Itoa(len(s.result.Tokens)+1) {
		return &OffsetError{Got: id, Expected: len(s.result.Tokens) + 1}
	}
	now := time.Now()
	if len(s.result.Tokens) == 0 {
		s.result.FirstToken = now.Sub(s.startedAt)
	} else {
		s.result.LongestGap = max(s.result.LongestGap, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.result.Tokens = append(s.result.Tokens, choice.Delta.Content)
	return nil
}
