package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/manifest"
)

// Guards against the refusal of a request that uses a new class right after the
// operator was told that it is in force. The dispatcher must apply the
// configuration at once instead of at its next refresh.
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
