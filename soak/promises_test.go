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

// thawSlack is how long after a pause the calls of the paused daemon don't count:
// they had left it before.
const thawSlack = 300 * time.Millisecond

// broken checks what callers, runners and the cloud saw and lists what must not be.
func (f *fleet) broken(r *record) []string {
	b := &findings{}
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := f.checkRuns(r, b)
	for _, c := range r.calls {
		c.check(b, runs[c.id])
	}
	f.checkDuties(b)
	return b.list
}

// findings lists broken promises, the first few of each kind.
type findings struct {
	list []string
	seen map[string]int
}

const mostOfAKind = 3

func (b *findings) add(what, format string, args ...any) {
	if b.seen == nil {
		b.seen = map[string]int{}
	}
	b.seen[what]++
	if b.seen[what] <= mostOfAKind {
		b.list = append(b.list, what+": "+fmt.Sprintf(format, args...))
	}
}

// checkRuns checks what reached runners and counts the runs of each request.
func (f *fleet) checkRuns(r *record, b *findings) map[string]int {
	runs := map[string]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, backend := range append(append([]*backend{}, f.runners...), f.gone...) {
		for _, run := range backend.Executions() {
			runs[run.ID]++
			c, known := r.calls[run.ID]
			if !known {
				b.add("run that nobody asked for", "%q at %s", run.ID, backend.ID)
				continue
			}
			if run.Method != c.method || run.Target != c.path || run.Body != "" && run.Body != c.body {
				b.add("changed request", "%s ran as %s %s %q", c.id, run.Method, run.Target, run.Body)
			}
			if run.Workspace() != site.Workspace || run.HasAPIKey() {
				b.add("workspace or key passed on", "%s with %q and its key: %v", c.id, run.Workspace(), run.HasAPIKey())
			}
			if at, ok := f.retired[c.key]; ok && c.sent.After(at.Add(revokeWithin)) {
				b.add("revoked key", "%s ran, sent %v after its key was taken away, at %s", c.id, c.sent.Sub(at), c.daemon)
			}
		}
	}
	return runs
}

// check compares what the caller was told with what ran.
func (c *call) check(b *findings, runs int) {
	if !c.repeatable && runs > 1 {
		b.add("run twice", "%s %s ran %d times", c.path, c.id, runs)
	}
	switch c.status {
	case http.StatusOK:
		c.checkAnswer(b)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !c.repeatable && runs > 0 {
			b.add("refused and run", "%s %s was answered %d by %s and ran", c.path, c.id, c.status, c.daemon)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		if c.key == stableKey {
			b.add("denied", "%s %s was answered %d by %s", c.path, c.id, c.status, c.daemon)
		}
	case http.StatusInternalServerError:
		if c.signature != "" && c.answer != "oops" && !c.cut {
			b.add("mixed answer", "%s got %q for a runner's failure", c.id, c.answer)
		}
	}
}

// checkAnswer checks a success: the whole answer to this request, and to no other.
func (c *call) checkAnswer(b *findings) {
	if !strings.HasSuffix(c.signature, "."+c.id) {
		b.add("mixed answer", "%s is signed %q", c.id, c.signature)
	}
	want := "answer to " + c.id
	if c.stream {
		want = ""
		for i := 1; i <= 5; i++ {
			want += fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
		}
	}
	// A runner that answers before it has read the body says this.
	whole := c.answer == want || c.answer == "early"
	switch {
	case !c.cut && !whole:
		b.add("part for a whole", "%s %s got %q", c.path, c.id, c.answer)
	case c.cut && !strings.HasPrefix(want, c.answer) && !strings.HasPrefix("early", c.answer):
		b.add("mixed answer", "%s %s got %q", c.path, c.id, c.answer)
	}
}

// checkDuties checks that each window was reported with one set of counts, that
// fencing tokens never fell, and that each was one daemon's.
func (f *fleet) checkDuties(b *findings) {
	counts := map[string]string{}
	holders := map[uint64]string{}
	last := uint64(0)
	for _, c := range f.cloud.Calls("/usage") {
		f.mu.Lock()
		thawed := f.thawed[c.Holder]
		f.mu.Unlock()
		if !c.At.Before(thawed) && c.At.Sub(thawed) <= thawSlack {
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
