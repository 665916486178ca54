package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// resumeSlack is how long after a pause usage reports of the paused daemon are
// ignored, because the daemon may have sent them before the pause.
const resumeSlack = 300 * time.Millisecond

// violations checks what callers, runners and the cloud observed and lists every
// broken guarantee.
func (f *fleet) violations(r *attemptLog) []string {
	b := &findings{}
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := f.checkRuns(r, b)
	for _, c := range r.byID {
		c.check(b, runs[c.id])
	}
	f.checkCuts(r, b)
	f.checkUsageReports(b)
	f.checkClasses(r, b)
	return b.list
}

// findings lists violations, at most maxPerKind of each kind.
type findings struct {
	list []string
	seen map[string]int
}

const maxPerKind = 3

func (b *findings) add(what, format string, args ...any) {
	if b.seen == nil {
		b.seen = map[string]int{}
	}
	b.seen[what]++
	if b.seen[what] <= maxPerKind {
		b.list = append(b.list, what+": "+fmt.Sprintf(format, args...))
	}
}

// checkRuns checks the requests that reached runners and counts the runs of each
// request.
func (f *fleet) checkRuns(r *attemptLog, b *findings) map[string]int {
	runs := map[string]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, proxiedRunner := range f.allRunnersLocked() {
		for _, run := range proxiedRunner.Executions() {
			runs[run.ID]++
			c, known := r.byID[run.ID]
			if !known {
				b.add("run that nobody asked for", "%q at %s", run.ID, proxiedRunner.ID)
				continue
			}
			if run.Method != c.method || run.Target != c.path || run.Body != "" && run.Body != c.body {
				b.add("changed request", "%s ran as %s %s %q", c.id, run.Method, run.Target, run.Body)
			}
			if run.Workspace() != c.workspace || run.HasAPIKey() {
				b.add("workspace or key passed on", "%s with %q and its key: %v", c.id, run.Workspace(), run.HasAPIKey())
			}
			if at, ok := f.revokedAt[c.key]; ok && c.sent.After(at.Add(revokeWithin)) {
				b.add("revoked key", "%s ran, sent %v after its key was taken away, at %s", c.id, c.sent.Sub(at), c.daemonAddress)
			}
		}
	}
	return runs
}

// check compares the answer that the caller got with what the runners executed.
func (c *attempt) check(b *findings, runs int) {
	if !c.repeatable && runs > 1 {
		b.add("run twice", "%s %s ran %d times", c.path, c.id, runs)
	}
	if c.saysNotRun() && runs > 0 {
		b.add("refused and run", "%s %s was answered %d by %s and ran", c.path, c.id, c.status, c.daemonAddress)
	}
	switch c.status {
	case http.StatusOK:
		c.checkAnswer(b)
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		if c.key == stableKey || c.workspace != site.Workspace {
			b.add("denied", "%s %s was answered %d by %s", c.path, c.id, c.status, c.daemonAddress)
		}
	case http.StatusInternalServerError:
		if c.signature != "" && c.answer != "oops" && !c.truncated {
			b.add("mixed answer", "%s got %q for a runner's failure", c.id, c.answer)
		}
	}
}

// saysNotRun reports whether the answer says that the request has not run, by its status or by its body.
func (c *attempt) saysNotRun() bool {
	return c.isRefused() || c.signature == "" && strings.Contains(c.answer, `"executed":"no"`)
}

// checkAnswer checks that a successful answer is complete and belongs to this request.
func (c *attempt) checkAnswer(b *findings) {
	if !strings.HasSuffix(c.signature, "."+c.id) {
		b.add("mixed answer", "%s is signed %q", c.id, c.signature)
	}
	want := "answer to " + c.id
	if c.stream {
		want = ""
		for i := 1; i <= streamEvents; i++ {
			want += fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
		}
	}
	// "early" is the answer of a runner that answers before it has read the body.
	whole := c.answer == want || c.answer == "early"
	switch {
	case !c.truncated && !whole:
		b.add("part for a whole", "%s %s got %q", c.path, c.id, c.answer)
	case c.truncated && !strings.HasPrefix(want, c.answer) && !strings.HasPrefix("early", c.answer):
		b.add("mixed answer", "%s %s got %q", c.path, c.id, c.answer)
	}
}

// checkUsageReports checks that each window was reported with one set of counts only,
// that fencing tokens never decreased, and that each token belonged to a single
// daemon.
func (f *fleet) checkUsageReports(b *findings) {
	counts := map[string]string{}
	holders := map[uint64]string{}
	last := uint64(0)
	for _, c := range f.cloud.Calls("/usage") {
		f.mu.Lock()
		resumedAt := f.resumedAt[c.Holder]
		f.mu.Unlock()
		if !c.At.Before(resumedAt) && c.At.Sub(resumedAt) <= resumeSlack {
			continue
		}
		token, err := strconv.ParseUint(c.Fence, 10, 64)
		if err != nil || token < last {
			b.add("fencing token", "%q of %s after %d", c.Fence, c.Holder, last)
		}
		last = max(last, token)
		if former, ok := holders[token]; ok && former != c.Holder {
			b.add("fencing token", "%d of both %s and %s", token, former, c.Holder)
		}
		holders[token] = c.Holder
		data, err := json.Marshal(c.Body["counts"])
		if err != nil {
			b.add("usage", "%v", err)
		}
		window := fmt.Sprint(c.Body["window"])
		if former, ok := counts[window]; ok && former != string(data) {
			b.add("usage", "window %s with %s and %s", window, former, data)
		}
		counts[window] = string(data)
	}
}
