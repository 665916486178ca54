package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

// ErrorBody is the JSON form of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells the caller the reason, whether anything was executed and when to retry.
type ErrorDetail struct {
	Code     refusal.Reason   `json:"code"`
	Message  string           `json:"message"`
	Type     string           `json:"type"`
	Executed refusal.Executed `json:"executed"`
	// RetryAfterMillis is how long the caller should wait before it retries. It is omitted if no
	// delay is known, for example because a retry would be refused again or because the outcome of
	// the request is unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

const errorType = "refusal"

var statusByReason = map[refusal.Reason]int{
	refusal.BadRequest:           http.StatusBadRequest,
	refusal.BodyTooLarge:         http.StatusRequestEntityTooLarge,
	refusal.BodyIncomplete:       http.StatusRequestTimeout,
	refusal.UnsupportedMethod:    http.StatusMethodNotAllowed,
	refusal.UnknownModel:         http.StatusNotFound,
	refusal.UnknownService:       http.StatusNotFound,
	refusal.UnknownRoute:         http.StatusNotFound,
	refusal.UnknownRequest:       http.StatusNotFound,
	refusal.Unauthenticated:      http.StatusUnauthorized,
	refusal.WorkspaceLimit:       http.StatusTooManyRequests,
	refusal.DeadlineExceeded:     http.StatusGatewayTimeout,
	refusal.KeyRequired:          http.StatusBadRequest,
	refusal.KeyMalformed:         http.StatusBadRequest,
	refusal.KeyExpired:           http.StatusGone,
	refusal.KeyReused:            http.StatusUnprocessableEntity,
	refusal.OutcomeUnknown:       http.StatusBadGateway,
	refusal.RunnerFailed:         http.StatusBadGateway,
	refusal.RetryBudgetExhausted: http.StatusServiceUnavailable,
	refusal.Internal:             http.StatusInternalServerError,
}

func statusOf(reason refusal.Reason) int {
	if s, ok := statusByReason[reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

func errorBody(r *refusal.Refusal) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Code:             r.Reason,
		Message:          r.Detail,
		Type:             errorType,
		Executed:         r.Executed,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

// writeError counts a failed request by the reason of its refusal and sends the refusal to the
// caller. If the answer has already begun, writeError sends nothing.
func (g *Gateway) writeError(c *echo.Context, err error) {
	r := toRefusal(err)
	g.countRefusal(c, r)
	if r.Reason == refusal.Internal {
		klog.ErrorS(err, "Request failed", "method", c.Request().Method, "path", c.Request().URL.Path)
	}
	if res, e := echo.UnwrapResponse(c.Response()); e == nil && res.Committed {
		return
	}
	if r.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	// An error means that the caller has disconnected.
	_ = c.JSON(statusOf(r.Reason), errorBody(r))
}

func (g *Gateway) countRefusal(c *echo.Context, r *refusal.Refusal) {
	g.incrementCounter("refused." + string(r.Reason))
	if ws, ok := c.Get(workspaceKey).(ident.Workspace); ok {
		g.Usage.Refused(ws, r.Reason)
	}
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// toRefusal converts an error to a refusal. A refusal is returned unchanged. A body over the limit,
// an unknown path and an unsupported method are detected before anything is dispatched, so their
// refusals say that the request wasn't executed. Any other error becomes an internal error whose
// refusal says that it is unknown whether the request was executed.
func toRefusal(err error) *refusal.Refusal {
	var known *refusal.Refusal
	if errors.As(err, &known) {
		return known
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	switch status := echo.StatusCode(err); status {
	case http.StatusNotFound:
		return refusal.New(refusal.UnknownRoute, "no such path")
	case http.StatusMethodNotAllowed:
		return refusal.New(refusal.UnsupportedMethod, "this path has no such method")
	}
	return refusal.From(err)
}

// BodyError says that a request's body is invalid or couldn't be read.
type BodyError struct{ Err error }

func (e *BodyError) Error() string { return fmt.Sprintf("body: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// readBody reads a body as far as there is room for it beside those of all other callers, and limits how long a slow
// caller may take to send it. It removes the read deadline afterwards, because a deadline that expires while the answer is
// streamed would cancel the request's context.
func (g *Gateway) readBody(c *echo.Context) ([]byte, error) {
	r := c.Request()
	held := c.Get(heldKey).(*callerlimit.Request)
	if ws, ok := c.Get(workspaceKey).(ident.Workspace); ok {
		held.Identify(ws)
	}
	controller := http.NewResponseController(c.Response())
	deadline := time.Now().Add(g.Limits.ReadTimeout)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	body, err := held.ReadToDecode(r.Body, r.ContentLength, deadline)
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		// The rest of the body may not have been read, and reading may have been ended.
		c.Response().Header().Set("Connection", "close")
		return nil, bodyError(err)
	}
	callerlimit.Answering(r.Context())
	return body.Bytes(), nil
}

// bodyError returns the refusal of a request whose body could not be read.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var ended *callerlimit.EndedError
	switch {
	case errors.As(err, &tooLarge):
		return &BodyError{Err: err}
	case errors.As(err, &ended):
		return callerlimit.NoRoom()
	case callerlimit.IsIncomplete(err):
		return refusal.New(refusal.BodyIncomplete, "the body did not arrive: %v", err)
	}
	return refusal.New(refusal.BadRequest, "the body can't be read: %v", err)
}
