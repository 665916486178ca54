package accounting_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/state/ident"
)

var timing = accounting.Timing{Length: 5 * time.Second, ReportWithin: 10 * time.Second, SettleTime: time.Second}

func at(seconds float64) time.Time { return time.UnixMilli(int64(seconds * 1000)) }

// A daemon counts requests and dies before the window ends. The invoice would lack these
// requests if only the counts of live daemons were added up.
func TestCountsSurviveDaemonEnd(t *testing.T) {
	is := is.New(t)
	dead := accounting.NewLedger("dead", timing)
	dead.RecordStart(at(1001), "shelter")
	dead.RecordStart(at(1002), "shelter")
	ledger := accounting.NewLedger("holder", timing)
	ledger.Receive("dead", dead.OpenWindows(at(1003), "dead"))
	ledger.RecordStart(at(1003), "shelter")
	ledger.RecordStart(at(1003), "wardens")
	is.Equal(ledger.Sum(200), accounting.Counts{"shelter": 3, "wardens": 1})
}

func TestWindowIsDueOnceSettled(t *testing.T) {
	is := is.New(t)
	ledger := accounting.NewLedger("holder", timing)
	isDue := func(now float64, w accounting.Window) bool {
		for _, d := range ledger.WindowsDue(at(now)) {
			if d == w {
				return true
			}
		}
		return false
	}
	is.True(!isDue(1005.5, 200)) // counts are still arriving
	is.True(isDue(1006, 200))
	is.True(isDue(1014.9, 200))
	is.True(!isDue(1015, 200)) // past due
	ledger.MarkReported(200)
	is.True(!isDue(1007, 200))
}

func TestTickDropsOldWindows(t *testing.T) {
	is := is.New(t)
	ledger := accounting.NewLedger("holder", timing)
	ledger.RecordStart(at(1001), "shelter")
	ledger.Receive("other", map[accounting.Window]accounting.Counts{200: {"shelter": 5}})
	ledger.Tick(at(1020))
	is.Equal(ledger.Sum(200)["shelter"], int64(6))
	ledger.Tick(at(1040))
	is.Equal(len(ledger.Sum(200)), 0)
}

// Windows that can't be reported in time any more are not open.
func TestOpenWindowsExcludePastDue(t *testing.T) {
	is := is.New(t)
	ledger := accounting.NewLedger("own", timing)
	ledger.RecordStart(at(1001), "shelter")
	ledger.RecordStart(at(1006), "shelter")
	is.Equal(len(ledger.OpenWindows(at(1014.9), "own")), 2)
	is.Equal(len(ledger.OpenWindows(at(1015), "own")), 1) // window 200 is due ten seconds after its end
	is.Equal(len(ledger.OpenWindows(at(1015), "other")), 0)
}

// The counts of ended daemons are sent one daemon at a time, in turn. Live daemons, which
// send their own counts, and daemons without open windows are skipped.
func TestEndedDaemonsAreSentInTurn(t *testing.T) {
	is := is.New(t)
	ledger := accounting.NewLedger("m", timing)
	for _, id := range []ident.Incarnation{"a", "b", "x", "z"} {
		ledger.Receive(id, map[accounting.Window]accounting.Counts{200: {"shelter": 1}})
	}
	ledger.Receive("old", map[accounting.Window]accounting.Counts{190: {"shelter": 1}})
	alive := map[ident.Incarnation]bool{"b": true}
	var order []ident.Incarnation
	last := ident.Incarnation("m")
	for range 4 {
		next, ok := ledger.NextEndedDaemon(at(1003), last, alive)
		is.True(ok)
		order = append(order, next)
		last = next
	}
	is.Equal(order, []ident.Incarnation{"x", "z", "a", "x"})
	_, ok := ledger.NextEndedDaemon(at(1020), last, alive)
	is.True(!ok)
}
