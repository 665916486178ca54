package decisions

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// TestMain makes klog write to the writer that Run sets.
func TestMain(m *testing.M) {
	klog.InitFlags(nil)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// written returns what the log writes of its queued lines.
func written(l *Log) string {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	l.Run(ctx, &out)
	return out.String()
}

// Guards against dropping the line about a cut answer because ordinary lines have filled the queue.
func TestFullQueueKeepsLinesAboutCutAnswers(t *testing.T) {
	is := is.New(t)
	l := New(metrics.NewRegistry())
	for range 2 * maxQueuedLines {
		l.Note("dispatched")
	}
	for i := range reservedLines {
		l.NoteLoss("broken_off", F("request", fmt.Sprintf("r%d", i)))
	}
	out := written(l)
	is.Equal(strings.Count(out, "broken_off"), reservedLines)
	is.True(strings.Contains(out, `request="r0"`))
	is.True(strings.Contains(out, fmt.Sprintf("lines=%d", maxQueuedLines)))
}

// failingWriter fails to write while it is full, after the first bytes of the data.
type failingWriter struct {
	full atomic.Bool
	mu   sync.Mutex
	data bytes.Buffer
}

type diskFullError struct{}

func (*diskFullError) Error() string { return "disk full" }

const writtenByFullDisk = 10

func (w *failingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full.Load() {
		n, _ := w.data.Write(p[:min(len(p), writtenByFullDisk)])
		return n, &diskFullError{}
	}
	return w.data.Write(p)
}

func (w *failingWriter) contains(text string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.data.String(), text)
}

// Guards against a log that writes nothing any more once a write has failed, though the failure has passed.
func TestLogGoesOnAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	l := New(metrics.NewRegistry())
	w := &failingWriter{}
	w.full.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx, w); close(done) }()
	l.Note("lost")
	for start := time.Now(); l.droppedTotal.Count() == 0 && time.Since(start) < 2*time.Second; time.Sleep(time.Millisecond) {
	}
	w.full.Store(false)
	l.NoteLoss("broken_off", F("request", "r1"))
	time.Sleep(3 * flushInterval)
	isWritten := w.contains("] \"broken_off\" request=\"r1\"\n")
	cancel()
	<-done
	is.True(isWritten)
	is.True(w.contains("] \"log lines dropped\" lines=1\n"))
	is.True(!w.contains("lost"))
}

// Guards against a killed daemon that takes the lines of the requests in progress with it.
func TestLinesAreWrittenBeforeDaemonCanBeKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const notedBeforeKill = 20 * time.Millisecond
		is := is.New(t)
		l := New(metrics.NewRegistry())
		w := &failingWriter{}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { l.Run(ctx, w); close(done) }()
		l.Note("dispatched", F("request", "r1"))
		time.Sleep(notedBeforeKill)
		isWritten := w.contains("dispatched")
		cancel()
		<-done
		is.True(isWritten)
	})
}

// Guards against a queue that grows, or blocks requests, when many answers are cut and nobody reads the log.
func TestLinesAboutCutAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	l := New(metrics.NewRegistry())
	for range maxQueuedLines + 2*reservedLines {
		l.NoteLoss("broken_off")
	}
	is.Equal(strings.Count(written(l), "broken_off"), maxQueuedLines+reservedLines)
	is.Equal(l.droppedTotal.Count(), int64(reservedLines))
}

// Guards against a queue that holds the long texts of callers.
func TestLongTextsAreCut(t *testing.T) {
	is := is.New(t)
	l := New(metrics.NewRegistry())
	l.Note("refused", F("request", strings.Repeat("i", 14<<10)), F("reason", "x"))
	out := written(l)
	is.True(len(out) < maxValueBytes+200)
	is.True(strings.Contains(out, `iii..." reason="x"`))
}
