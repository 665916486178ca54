// Package decisions logs and counts the daemon's decisions: one structured line for each
// decision that concerns a request or changes the daemon's state.
//
// A single writer goroutine takes the lines from a bounded queue and writes them to standard
// output. A slow writer, or a pipe that nobody reads, never delays a request: lines that don't
// fit into the queue are dropped, and a line with the number of dropped lines precedes the next
// one. The last part of the queue is reserved for the lines that say why an answer isn't whole.
package decisions

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines bounds the queue of ordinary lines; at 300 bytes a line, they hold 1.2 MB.
	maxQueuedLines = 4096
	// reservedLines is the room in the queue for lines about answers that aren't whole: two for each of
	// the thousand requests that a daemon may have in progress when they all end.
	reservedLines = 2048
	// writeBufferBytes is the size of the output buffer.
	writeBufferBytes = 32 << 10
	// maxValueBytes is how much is kept of a text in a line. Callers choose some of them, such as request IDs.
	maxValueBytes = 2 << 10
	// flushInterval is how long a written line may stay in the output buffer, so that a busy
	// daemon makes a hundred system calls a second and not one for each request. The lines of this
	// interval are lost if the daemon is killed.
	flushInterval = 10 * time.Millisecond
)

// Event names a kind of decision. It is the message of the line and the name of the counter.
type Event string

// Field is an input or a result of a decision.
type Field struct {
	Name  string
	Value any
}

// F returns a Field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

type line struct {
	event  Event
	fields []Field
}

// Log queues and counts decisions. It is safe for concurrent use, and its methods other than
// Run never block.
type Log struct {
	lines        chan line
	dropped      atomic.Int64
	registry     metrics.Registry
	droppedTotal metrics.Counter
}

// shorten keeps the beginnings of long texts, so that the queue's memory is bounded whatever callers send.
func (l *line) shorten() {
	for i, f := range l.fields {
		if text, ok := f.Value.(string); ok && len(text) > maxValueBytes {
			l.fields[i].Value = text[:maxValueBytes] + "..."
		}
	}
}

// New returns a log whose counters are in the registry. Lines are written only while Run is
// running.
func New(registry metrics.Registry) *Log {
	return &Log{
		lines:        make(chan line, maxQueuedLines+reservedLines),
		registry:     registry,
		droppedTotal: metrics.GetOrRegisterCounter("log.dropped_lines", registry),
	}
}

// Note counts an event and queues its line.
func (l *Log) Note(event Event, fields ...Field) {
	l.queue(line{event, fields}, maxQueuedLines)
}

// NoteLoss is Note for an event that says why an answer isn't whole. Its line still fits into the queue
// when there is no room for ordinary lines.
func (l *Log) NoteLoss(event Event, fields ...Field) {
	l.queue(line{event, fields}, maxQueuedLines+reservedLines)
}

// queue queues a line unless the queue holds the given number of lines. Concurrent calls may exceed
// that by one line each.
func (l *Log) queue(next line, limit int) {
	next.shorten()
	l.Count(string(next.event))
	if len(l.lines) < limit {
		select {
		case l.lines <- next:
			return
		default:
		}
	}
	l.dropped.Add(1)
	l.droppedTotal.Inc(1)
}

// Count increments a counter without writing a line.
func (l *Log) Count(name string) {
	metrics.GetOrRegisterCounter(name, l.registry).Inc(1)
}

// Add adds n to a counter without writing a line.
func (l *Log) Add(name string, n int) {
	metrics.GetOrRegisterCounter(name, l.registry).Inc(int64(n))
}

// Gauge sets the function that returns the present value of a gauge.
func (l *Log) Gauge(name string, value func() int64) {
	l.registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// Time adds a duration to the histogram of the given name, which counts in microseconds.
func (l *Log) Time(name string, d time.Duration) {
	h := l.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// reservoirSize and decayAlpha are the parameters of the histograms' samples, which give the
// last minutes the most weight.
const reservoirSize, decayAlpha = 1028, 0.015

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
}

// Run writes the queued lines to w until the context ends, and then those that are still queued.
// It redirects the output of klog, a process-wide logger, to w.
func (l *Log) Run(ctx context.Context, w io.Writer) {
	out := newOutput(w)
	klog.SetOutput(out.buffer)
	defer l.flush(out)
	var due <-chan time.Time
	for {
		select {
		case next := <-l.lines:
			l.write(out, next)
			if due == nil {
				due = time.After(flushInterval)
			}
		case <-due:
			l.flush(out)
			due = nil
		case <-ctx.Done():
			l.drain(out)
			return
		}
	}
}

func (l *Log) drain(out *output) {
	for {
		select {
		case next := <-l.lines:
			l.write(out, next)
		default:
			return
		}
	}
}

func (l *Log) write(out *output, next line) {
	if n := l.dropped.Swap(0); n > 0 {
		klog.InfoS("log lines dropped", "lines", n)
	}
	pairs := make([]any, 0, 2*len(next.fields))
	for _, f := range next.fields {
		pairs = append(pairs, f.Name, f.Value)
	}
	klog.InfoS(string(next.event), pairs...)
	out.unflushed++
}

// flush writes what klog and the output hold. If that fails, the lines count as dropped.
func (l *Log) flush(out *output) {
	klog.Flush()
	if lost := out.flush(); lost > 0 {
		l.dropped.Add(lost)
		l.droppedTotal.Inc(lost)
	}
}
