package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const lastEventIDHeader = "Last-Event-ID"

// readRequest returns the output of an accepted request. A streamed output starts after the event
// that the Last-Event-ID header names.
func (g *Gateway) readRequest(c *echo.Context) error {
	_, ws, err := g.authenticate(c)
	if err != nil {
		return err
	}
	a := completionResponse{object: objectChat, id: ident.RequestID(c.Param("id")), workspace: ws}
	offset, resumed, err := resumeOffset(c)
	if err != nil {
		return err
	}
	if resumed || strings.Contains(c.Request().Header.Get("Accept"), "text/event-stream") {
		return g.writeStream(c, a, offset)
	}
	return g.fullResponse(c, a)
}

func resumeOffset(c *echo.Context) (offset int, resumed bool, err error) {
	text := c.Request().Header.Get(lastEventIDHeader)
	if text == "" {
		return 0, false, nil
	}
	offset, err = strconv.Atoi(text)
	if err != nil || offset < 0 {
		return 0, false, refusal.New(refusal.BadRequest, "%s must be the id of an event", lastEventIDHeader)
	}
	return offset, true, nil
}

func (g *Gateway) cancelRequest(c *echo.Context) error {
	_, ws, err := g.authenticate(c)
	if err != nil {
		return err
	}
	if err := g.Models.Cancel(c.Request().Context(), ws, ident.RequestID(c.Param("id"))); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
