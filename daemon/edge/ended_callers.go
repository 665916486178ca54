package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

// EndedCallers logs and counts the callers that are ended to make room for others, with a limit on the lines.
type EndedCallers struct {
	log   *decisions.Log
	lines callerlimit.Rate
}

// NewEndedCallers returns EndedCallers that write to the log.
func NewEndedCallers(log *decisions.Log) *EndedCallers { return &EndedCallers{log: log} }

// Note logs and counts that a request or a connection was ended. id is empty if the request's ID isn't known.
func (c *EndedCallers) Note(what, id, remote string, e callerlimit.Ended) {
	c.log.Count("caller_ended." + what)
	skipped, ok := c.lines.Allow(time.Now())
	if !ok {
		return
	}
	c.log.Note("caller_ended", decisions.F("what", what), decisions.F("request", id), decisions.F("remote", remote), decisions.F("held", e.Held), decisions.F("age", e.Age),
		decisions.F("used", e.Used), decisions.F("limit", e.Limit), decisions.F("not_logged", skipped))
}
