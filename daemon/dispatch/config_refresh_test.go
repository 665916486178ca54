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
	runDispatcher(t, 2, func(t *testing.T, env *fakeEnvironment, d *Dispatcher) {
		is := is.New(t)
		next := testManifest
		next.Classes = append([]manifest.Class{{Name: "urgent", Priority: 20, TTFTMillis: 500, TBTMillis: 50}}, next.Classes...)
		env.fakeConfig.m.Store(&next)
		began := time.Now()
		release, err := d.Acquire(t.Context(), testRequest("1", "urgent"))
		is.NoErr(err)
		release()
		is.Equal(time.Since(began), time.Duration(0))
	})
}
