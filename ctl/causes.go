package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// causesCmd counts failed requests and attempts in the logs by cause, to show
// which requests fail, when, and at which runner or daemon.
type causesCmd struct {
	common
	by    string
	limit int
}

// defaultCauseLimit is the default number of causes shown.
const defaultCauseLimit = 20

func (*causesCmd) Name() string     { return "causes" }
func (*causesCmd) Synopsis() string { return "sum up by cause what failed in daemons' logs" }
func (*causesCmd) Usage() string {
	return "causes [flags] [LOG...]\n  Reads standard input if no log is named.\n"
}

func (p *causesCmd) SetFlags(f *flag.FlagSet) {
	p.setFlags(f)
	f.StringVar(&p.by, "by", "reason,route", "what to tell apart beside the event: "+strings.Join(groupings, ", "))
	f.IntVar(&p.limit, "most", defaultCauseLimit, "how many causes to show, the most frequent first")
}

// Cause is a group of failures with the same event and key, and their number.
type Cause struct {
	Event string `json:"event"`
	// Key holds the values that the failures have in common, in the order of
	// the requested groupings.
	Key   []string `json:"key"`
	Count int      `json:"count"`
}

// Causes holds the failures found in the logs, grouped by cause.
type Causes struct {
	By     []string `json:"by"`
	Causes []Cause  `json:"causes"`
	// Total is the number of all failures, including those whose causes are not
	// shown.
	Total int `json:"total"`
}

// failureEvents lists the events that end a request or an attempt without an
// answer.
var failureEvents = []string{"refused", "broken_off", "caller_left", "attempt_failed", "panicked", "request_unread"}

// groupings lists the properties by which causes can be grouped.
var groupings = []string{"reason", "route", "workspace", "runner", "daemon", "second"}

// UnknownGroupingError reports that failures cannot be grouped by the given
// name.
type UnknownGroupingError struct{ Name string }

func (e *UnknownGroupingError) Error() string {
	return fmt.Sprintf("can't group by %q; known: %s", e.Name, strings.Join(groupings, ", "))
}

func (p *causesCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	by := strings.Split(p.by, ",")
	for _, name := range by {
		if !slices.Contains(groupings, name) {
			return p.reportError(&UnknownGroupingError{name})
		}
	}
	c := newCauseCounter(by)
	if err := readLogs(f.Args(), c.addLine); err != nil {
		return p.reportError(err)
	}
	causes := c.causes(p.limit)
	p.print(causes, causes.write)
	return subcommands.ExitSuccess
}

// causeCounter counts failures by event and grouping values.
type causeCounter struct {
	by []string
	// counts holds the causes by their event and key, joined by null bytes.
	counts map[string]*Cause
	total  int
}

func newCauseCounter(by []string) *causeCounter {
	return &causeCounter{by: by, counts: map[string]*Cause{}}
}

func (c *causeCounter) addLine(line string) {
	d := parseDecision(line)
	if !slices.Contains(failureEvents, d.Event) {
		return
	}
	c.total++
	key := make([]string, len(c.by))
	for i, name := range c.by {
		key[i] = d.groupValue(name)
	}
	id := d.Event + "\x00" + strings.Join(key, "\x00")
	if c.counts[id] == nil {
		c.counts[id] = &Cause{Event: d.Event, Key: key}
	}
	c.counts[id].Count++
}

func (c *causeCounter) causes(limit int) Causes {
	all := Causes{By: c.by, Total: c.total, Causes: []Cause{}}
	for _, cause := range c.counts {
		all.Causes = append(all.Causes, *cause)
	}
	slices.SortFunc(all.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Event, b.Event), slices.Compare(a.Key, b.Key))
	})
	all.Causes = all.Causes[:min(max(limit, 0), len(all.Causes))]
	return all
}

var clockPattern = regexp.MustCompile(`\d\d:\d\d:\d\d`)

// groupValue returns the decision's value for one of the groupings.
func (d *Decision) groupValue(name string) string {
	switch name {
	case "second":
		return clockPattern.FindString(d.Source)
	case "daemon":
		return daemonFromSource(d.Source)
	default:
		return d.Fields[name]
	}
}

// daemonFromSource returns the word before a line's klog header, which names
// the daemon where the logs of several daemons were merged. It returns an empty
// string if there is none.
func daemonFromSource(source string) string {
	words := strings.Fields(source)
	for i, word := range words {
		if i > 0 && len(word) == len("I0102") && strings.ContainsRune("IWEF", rune(word[0])) {
			return words[i-1]
		}
	}
	return ""
}

func (c Causes) write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "count\tevent\t%s\n", strings.Join(c.By, "\t"))
	for _, cause := range c.Causes {
		fmt.Fprintf(table, "%d\t%s\t%s\n", cause.Count, cause.Event, strings.Join(cause.Key, "\t"))
	}
	table.Flush()
	fmt.Fprintf(w, "%d in all\n", c.Total)
}
