package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

const trialLines = `I0305 15:48:57.100000 1 decisions.go:131] "trial_step" service="app" target="v2" order=41 state="running" reason="ordered" route="" reserved=0 sent=0 answers=0 failed=0 old_runners=4 new_runners=0 outcome="written"
I0305 15:48:58.100000 1 decisions.go:131] "order" service="app"
I0305 15:49:01.100000 1 decisions.go:131] "trial_step" service="app" target="v2" order=41 state="rolled_back" reason="more_failures" route="lookup" reserved=70 sent=31 answers=30 failed=12 old_runners=4 new_runners=4 outcome="written"
`

// Operators must be able to tell from the logs why a version was rolled back.
func TestTrialsShowReasonForRollback(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(log, []byte(trialLines), 0o600))
	var out bytes.Buffer
	is.Equal(execute(t, &trialsCmd{common{out: &out, errs: &out}}, log), subcommands.ExitSuccess)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Fields(lines[2]), []string{"app", "v2", "41", "rolled_back", "more_failures", "lookup", "70", "31", "30", "12", "4", "4", "written"})
	out.Reset()
	is.Equal(execute(t, &trialsCmd{common{out: &out, errs: &out}}, "-o", "json", log), subcommands.ExitSuccess)
	is.True(strings.Contains(out.String(), `"reason": "more_failures"`))
}
