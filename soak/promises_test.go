package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
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
func (f *fleet) violations() []string {
	found := &findings{}
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	runs := f.checkRuns(found)
	for _, a := range f.attemptLog.byID {
		a.check(found, runs[a.id])
	}
	f.checkCuts(found)
	f.checkBudget(found)
	f.checkUsageReports(found)
	f.checkClasses(found)
	return found.list
}

// findings lists violations, at most maxPerKind of each kind.
type findings struct {
	list []string
	seen map[string]int
}

const maxPerKind = 3

func (found *findings) add(what, format string, args ...any) {
	if found.seen == nil {
		found.seen = map[string]int{}
	}
	found.seen[what]++
	if found.seen[what] <= maxPerKind {
		found.list = append(found.list, what+": "+fmt.Sprintf(format, args...))
	}
}

// checkRuns checks the requests that reached runners and counts the runs of each
// request.
func (f *fleet) checkRuns(found *findings) map[string]int {
	runs := map[string]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, runner := range f.allRunnersLocked() {
		for _, run := range runner.Executions() {
			runs[run.ID]++
			a, known := f.attemptLog.byID[run.ID]
			if !known {
				found.add("run that nobody asked for", "%q at %s", run.ID, runner.ID)
				continue
			}
			if run.Method != a.method || run.Target != a.path || run.Body != "" && run.Body != a.body {
				found.add("changed request", "%s ran as %s %s %q", a.id, run.Method, run.Target, run.Body)
			}
			if run.Workspace() != a.workspace || run.HasAPIKey() {
				found.add("workspace or key passed on", "%s with %q and its key: %v", a.id, run.Workspace(), run.HasAPIKey())
			}
			if at, ok := f.revokedAt[a.key]; ok && a.sent.After(at.Add(revokeWithin)) {
				found.add("revoked key", "%s ran, sent %v after its key was taken away, at %s", a.id, a.sent.Sub(at), a.daemonAddress)
			}
		}
	}
	return runs
}

// check compares the answer that the caller got with what the runners executed.
func (a *attempt) check(found *findings, runs int) {
	if !a.repeatable && runs > 1 {
		found.add("run twice", "%s %s ran %d times", a.path, a.id, runs)
	}
	if a.saysNotRun() && runs > 0 {
		found.add("refused and run", "%s %s was answered %d by %s and ran", a.path, a.id, a.status, a.daemonAddress)
	}
	switch a.status {
	case http.StatusOK:
		a.checkAnswer(found)
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		if a.key == stableKey || a.workspace != site.Workspace {
			found.add("denied", "%s %s was answered %d by %s", a.path, a.id, a.status, a.daemonAddress)
		}
	case http.StatusInternalServerError:
		if a.signature != "" && a.answer != "oops" && !a.truncated {
			found.add("mixed answer", "%s got %q for a runner's failure", a.id, a.answer)
		}
	}
}

// saysNotRun reports whether the answer says that the request has not run, by its status or by its body.
func (a *attempt) saysNotRun() bool {
	return a.isRefused() || a.signature == "" && strings.Contains(a.answer, `"executed":"no"`)
}

// checkAnswer checks that a successful answer is complete and belongs to this request.
func (a *attempt) checkAnswer(found *findings) {
	if !strings.HasSuffix(a.signature, "."+a.id) {
		found.add("mixed answer", "%s is signed %q", a.id, a.signature)
	}
	// "early" is the answer of a runner that answers before it has read the body.
	wanted := append(a.wholeAnswers(), "early")
	isPart := func(whole string) bool { return strings.HasPrefix(whole, a.answer) }
	switch {
	case !a.truncated && !slices.Contains(wanted, a.answer):
		found.add("part for a whole", "%s %s got %q", a.path, a.id, a.answer)
	case a.truncated && !slices.ContainsFunc(wanted, isPart):
		found.add("mixed answer", "%s %s got %q", a.path, a.id, a.answer)
	}
}

// wholeAnswers returns the answers that runners may give. The events of a stream are all of one version, if they name one.
func (a *attempt) wholeAnswers() []string {
	if !a.stream {
		return []string{"answer to " + a.id}
	}
	answers := make([]string, 3)
	for i := 1; i <= streamEvents; i++ {
		for n, data := range []string{fmt.Sprintf("word%d", i), "v1", "v2"} {
			answers[n] += fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
		}
	}
	return answers
}

// checkUsageReports checks that each window was reported with one set of counts only,
// that fencing tokens never decreased, and that each token belonged to a single
// daemon.
func (f *fleet) checkUsageReports(found *findings) {
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
			found.add("fencing token", "%q of %s after %d", c.Fence, c.Holder, last)
		}
		last = max(last, token)
		if former, ok := holders[token]; ok && former != c.Holder {
			found.add("fencing token", "%d of both %s and %s", token, former, c.Holder)
		}
		holders[token] = c.Holder
		data, err := json.Marshal(c.Body["counts"])
		if err != nil {
			found.add("usage", "%v", err)
		}
		window := fmt.Sprint(c.Body["window"])
		if former, ok := counts[window]; ok && former != string(data) {
			found.add("usage", "window %s with %s and %s", window, former, data)
		}
		counts[window] = string(data)
	}
}
