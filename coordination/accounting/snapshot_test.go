package accounting_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against counts that are lost or counted twice when daemons that each know a part
// of them save snapshots, and a daemon that knows another part loads them.
func TestSavedCountsAddUpOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const daemons = 4
		at := time.Unix(1_000_000, 0)
		window := accounting.Window(at.UnixMilli() / timing.Length.Milliseconds())
		ledgers := make([]*accounting.Ledger, daemons)
		for i := range ledgers {
			ledgers[i] = accounting.NewLedger(ident.Incarnation(fmt.Sprintf("d%d", i)), timing)
		}
		reader := accounting.NewLedger("reader", timing)
		started := accounting.Counts{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				ws := ident.Workspace(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace"))
				ledgers[i].RecordStart(at, ws)
				started[ws]++
			case 2:
				other := rapid.IntRange(0, daemons-1).Draw(t, "other")
				ledgers[other].Load(encodeAndDecode(t, ledgers[i].TakeSnapshot(at)))
			case 3:
				reader.Load(encodeAndDecode(t, ledgers[i].TakeSnapshot(at)))
			}
		}
		for _, ledger := range ledgers {
			reader.Load(encodeAndDecode(t, ledger.TakeSnapshot(at)))
		}
		is.Equal(reader.Sum(window), started)
		reloaded := accounting.NewLedger("again", timing)
		reloaded.Load(encodeAndDecode(t, reader.TakeSnapshot(at)))
		is.Equal(reloaded.Sum(window), started)
	})
}

// encodeAndDecode returns the snapshot after a round trip through its stored form.
func encodeAndDecode(t *rapid.T, s accounting.Snapshot) accounting.Snapshot {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var read accounting.Snapshot
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

// Guards against snapshots that grow with windows that are already reported or past due.
func TestOnlyOpenWindowsAreSaved(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_000_000, 0)
	ledger := accounting.NewLedger("a", timing)
	for _, ago := range []time.Duration{25 * time.Second, 10 * time.Second, 5 * time.Second, 0} {
		ledger.RecordStart(at.Add(-ago), "x")
	}
	ledger.MarkReported(ledger.WindowAt(at.Add(-10 * time.Second)))
	s := ledger.TakeSnapshot(at)
	is.Equal(len(s.Daemons), 1)
	is.Equal(len(s.Daemons[0].Windows), 2)
}
