package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/manifest"
)

// Guards against the refusal of a request that uses a new class right after the
// operator's apply has returned. The dispatcher must not wait for its next
// periodic refresh to apply the configuration.
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
