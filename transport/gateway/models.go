package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 17
	preferAsync      = "respond-async"
	objectChat       = "chat.completion"
	objectText       = "text_completion"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of a chat or text completion request. Unknown fields are ignored,
// since client libraries send many fields that the gateway doesn't use.
type CompletionRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Prompt   string    `json:"prompt"`
	// MaxTokens limits the output. If it is zero, MaxCompletionTokens applies.
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	// ServiceTier names a class of the manifest. The default is the interactive class with the
	// lowest priority.
	ServiceTier string `json:"service_tier"`
	// Adapter optionally names one of the model's adapters.
	Adapter string `json:"adapter"`
}

func (g *Gateway) listModels(c *echo.Context) error {
	m, _, err := g.authenticate(c)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, model := range m.Models {
		list.Data = append(list.Data, modelInfo{ID: model.Name, Object: "model", OwnedBy: model.Service})
	}
	return c.JSON(http.StatusOK, list)
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

func (g *Gateway) chatCompletions(c *echo.Context) error { return g.submitCompletion(c, objectChat) }

func (g *Gateway) completions(c *echo.Context) error { return g.submitCompletion(c, objectText) }

func (g *Gateway) submitCompletion(c *echo.Context, object string) error {
	m, ws, err := g.authenticate(c)
	if err != nil {
		return err
	}
	body, err := g.readCompletion(c, object)
	if err != nil {
		return err
	}
	request, err := g.buildModelRequest(c, m, ws, body)
	if err != nil {
		return err
	}
	if err := g.Models.Submit(c.Request().Context(), request); err != nil {
		return err
	}
	g.incrementCounter("accepted.model")
	g.Usage.Accepted(ws)
	c.Response().Header().Set(requestIDHeader, string(request.ID))
	c.Response().Header().Set("Location", requestPath(request.ID))
	a := completionResponse{object: object, model: request.Model, id: request.ID, workspace: ws, acceptedHere: true}
	if request.Async {
		return c.JSON(http.StatusAccepted, acceptedBody{ID: request.ID, Status: "accepted"})
	}
	if body.Stream {
		return g.writeStream(c, a, 0)
	}
	return g.fullResponse(c, a)
}

type acceptedBody struct {
	ID     ident.RequestID `json:"id"`
	Status string          `json:"status"`
}

func requestPath(id ident.RequestID) string { return "/v1/requests/" + string(id) }

func (g *Gateway) readCompletion(c *echo.Context, object string) (CompletionRequest, error) {
	var body CompletionRequest
	data, err := g.readBody(c)
	if err != nil {
		return body, err
	}
	defer c.Get(heldKey).(*callerlimit.Request).ShrinkDecoded(len(data))
	if err := json.Unmarshal(data, &body); err != nil {
		return body, refusal.New(refusal.BadRequest, "the body is no completion request: %v", err)
	}
	if object == objectChat {
		body.Prompt = joinMessages(body.Messages)
	}
	if strings.TrimSpace(body.Prompt) == "" {
		return body, refusal.New(refusal.BadRequest, "the prompt is empty")
	}
	return body, nil
}

func joinMessages(messages []Message) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return strings.Join(parts, "\n")
}

func (g *Gateway) buildModelRequest(c *echo.Context, m *manifest.Manifest, ws ident.Workspace, body CompletionRequest) (call.ModelRequest, error) {
	model := m.ModelNamed(body.Model)
	if model == nil {
		return call.ModelRequest{}, refusal.New(refusal.UnknownModel, "no model %q", body.Model)
	}
	if body.Adapter != "" && !hasAdapter(model, body.Adapter) {
		return call.ModelRequest{}, refusal.New(refusal.UnknownModel, "model %q has no adapter %q", body.Model, body.Adapter)
	}
	class := defaultClass(m)
	if body.ServiceTier != "" {
		class = m.ClassNamed(body.ServiceTier)
	}
	if class == nil {
		return call.ModelRequest{}, refusal.New(refusal.BadRequest, "no class %q", body.ServiceTier)
	}
	maxTokens, err := maxOutputTokens(body)
	if err != nil {
		return call.ModelRequest{}, err
	}
	deadline, err := requestDeadline(c, time.Duration(class.DeadlineMillis)*time.Millisecond)
	if err != nil {
		return call.ModelRequest{}, err
	}
	return call.ModelRequest{
		ID:        g.NewRequestID(),
		Workspace: ws,
		Class:     class.Name,
		Model:     model.Name,
		Adapter:   body.Adapter,
		Prompt:    body.Prompt,
		MaxTokens: maxTokens,
		Deadline:  deadline,
		Async:     strings.Contains(c.Request().Header.Get("Prefer"), preferAsync),
	}, nil
}

// defaultClass returns the class of requests that name none: the non-deferrable class with the lowest
// priority, so that a caller doesn't gain priority by omitting the class. If all classes are
// deferrable, it returns the manifest's first class.
func defaultClass(m *manifest.Manifest) *manifest.Class {
	var lowest *manifest.Class
	for i := range m.Classes {
		c := &m.Classes[i]
		if !c.Deferrable && (lowest == nil || c.Priority < lowest.Priority) {
			lowest = c
		}
	}
	if lowest == nil {
		return &m.Classes[0]
	}
	return lowest
}

func hasAdapter(model *manifest.Model, name string) bool {
	for _, a := range model.Adapters {
		if a.Name == name {
			return true
		}
	}
	return false
}

func maxOutputTokens(body CompletionRequest) (int, error) {
	n := body.MaxTokens
	if n == 0 {
		n = body.MaxCompletionTokens
	}
	if n == 0 {
		n = defaultMaxTokens
	}
	if n < 0 || n > maxTokensLimit {
		return 0, refusal.New(refusal.BadRequest, "max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return n, nil
}

// requestDeadline returns the deadline from the caller's timeout header or the fallback. The zero
// time means that there is none.
func requestDeadline(c *echo.Context, fallback time.Duration) (time.Time, error) {
	header := c.Request().Header.Get(timeoutHeader)
	if header == "" {
		if fallback == 0 {
			return time.Time{}, nil
		}
		return time.Now().Add(fallback), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return time.Time{}, refusal.New(refusal.BadRequest, "%s must be a number of milliseconds, at most a day", timeoutHeader)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}
