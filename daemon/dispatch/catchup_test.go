package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/manifest"
)

// An operator's apply returns: a new class is in force. A caller uses it at once
// and is told that there is no such class, since the dispatcher looks at the
// configuration only now and then.
func TestRequestRightAfterApplyIsServed(t *testing.T) {
	within(t, 2, func(t *testing.T, w *world, d *Dispatcher) {
		is := is.New(t)
		next := configured
		next.Classes = append([]manifest.Class{{Name: "urgent", Priority: 20, TTFTMillis: 500, TBTMillis: 50}}, next.Classes...)
		w.config.m.Store(&next)
		began := time.Now()
		release, err := d.Acquire(t.Context(), ask("1", "urgent"))
		is.NoErr(err)
		release()
		is.Equal(time.Since(began), time.Duration(0))
	})
}
