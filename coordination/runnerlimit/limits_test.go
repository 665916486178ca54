package runnerlimit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
)

// Guards against lifting a limit because an answer without one was overtaken by one that states it.
func TestOvertakenAnswerLiftsNoLimit(t *testing.T) {
	is := is.New(t)
	k := runnerlimit.New()
	is.True(!k.Observe(1*time.Second, 0, "r", 0))
	is.True(k.Observe(2*time.Second, time.Second, "r", 0.5))
	is.True(!k.Observe(3*time.Second, time.Second, "r", 0)) // sent before the limit was stated
	is.Equal(k.PerSecond("r"), 0.5)
	is.True(k.Observe(4*time.Second, 3*time.Second, "r", 0))
	is.Equal(k.PerSecond("r"), 0.0)
}
