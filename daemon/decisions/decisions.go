// Package decisions writes one structured line for each decision that touches a
// request or changes what the daemon believes, and counts them.
//
// Lines go to standard output through a bounded queue that a single writer
// empties. A writer that is slow, or a pipe that nobody reads, never holds a
// request up: lines that find the queue full are dropped and counted, and the
// number dropped is the next line that is written.
package decisions

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines bounds the lines that wait; at 300 bytes each they hold 1.2 MB.
	maxQueuedLines = 4096
	// writeBufferBytes is written at once.
	writeBufferBytes = 32 << 10
	// flushInterval is how long a line may wait for others, so that a busy daemon writes
	// several times a second and not for each request. A daemon that is killed takes the
	// lines of this time with it.
	flushInterval = 100 * time.Millisecond
)

// Event names what was decided; it is the line's message and its counter's name.
type Event string

// Field is one input or outcome of a decision.
type Field struct {
	Name  string
	Value any
}

// F makes a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

type line struct {
	event  Event
	fields []Field
}

// Log takes decisions. It is safe for concurrent use; its methods never block.
type Log struct {
	lines        chan line
	dropped      atomic.Int64
	registry     metrics.Registry
	droppedTotal metrics.Counter
}

// New returns a log that counts into the registry; Run must be called for its
// lines to be written.
func New(registry metrics.Registry) *Log {
	return &Log{
		lines:        make(chan line, maxQueuedLines),
		registry:     registry,
		droppedTotal: metrics.GetOrRegisterCounter("log.dropped_lines", registry),
	}
}

// Note counts the event and queues its line.
func (l *Log) Note(event Event, fields ...Field) {
	l.Count(string(event))
	select {
	case l.lines <- line{event, fields}:
	default:
		l.dropped.Add(1)
		l.droppedTotal.Inc(1)
	}
}

// Count adds one to a counter without a line.
func (l *Log) Count(name string) {
	metrics.GetOrRegisterCounter(name, l.registry).Inc(1)
}

// Time adds a duration to a latency histogram.
func (l *Log) Time(name string, d time.Duration) {
	h := l.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// reservoirSize of a histogram weigh the last minutes most.
const reservoirSize, decayAlpha = 1028, 0.015

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
}

// Run writes the queued lines to w until the context ends, and then those that
// are left. It takes klog over.
func (l *Log) Run(ctx context.Context, w io.Writer) {
	buffer := bufio.NewWriterSize(w, writeBufferBytes)
	klog.SetOutput(buffer)
	defer l.flush(buffer)
	var due <-chan time.Time
	for {
		select {
		case next := <-l.lines:
			l.write(next)
			if due == nil {
				due = time.After(flushInterval)
			}
		case <-due:
			l.flush(buffer)
			due = nil
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case next := <-l.lines:
			l.write(next)
		default:
			return
		}
	}
}

func (l *Log) write(next line) {
	if n := l.dropped.Swap(0); n > 0 {
		klog.InfoS("log lines dropped", "lines", n)
	}
	pairs := make([]any, 0, 2*len(next.fields))
	for _, f := range next.fields {
		pairs = append(pairs, f.Name, f.Value)
	}
	klog.InfoS(string(next.event), pairs...)
}

// flush empties klog and the buffer. There is nobody to tell of a failure to
// write the log.
func (l *Log) flush(buffer *bufio.Writer) {
	klog.Flush()
	_ = buffer.Flush()
}
