// Package logtest lets tests read the lines of a log of decisions.
package logtest

import (
	"bytes"
	"context"
	"flag"
	"testing"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/daemon/decisions"
)

// Lines returns the queued lines of a log that isn't running. klog is process-wide, so no other log may
// run meanwhile.
func Lines(t *testing.T, l *decisions.Log) string {
	t.Helper()
	flags := flag.NewFlagSet(t.Name(), flag.ContinueOnError)
	klog.InitFlags(flags)
	before := flags.Lookup("logtostderr").Value.String()
	setFlag(t, flags, "logtostderr", "false")
	setFlag(t, flags, "stderrthreshold", "FATAL")
	defer setFlag(t, flags, "logtostderr", before)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	l.Run(ended, &out)
	return out.String()
}

func setFlag(t *testing.T, flags *flag.FlagSet, name, value string) {
	t.Helper()
	if err := flags.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
