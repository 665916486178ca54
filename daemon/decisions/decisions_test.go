package decisions

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

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
