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

// Guards against counts that are lost or counted twice when they are saved by daemons that each
// know a part, and read by one that knows another part.
func TestSavedCountsAddUpOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const daemons = 4
		at := time.Unix(1_000_000, 0)
		window := accounting.Window(at.UnixMilli() / timing.Length.Milliseconds())
		books := make([]*accounting.Book, daemons)
		for i := range books {
			books[i] = accounting.NewBook(ident.Incarnation(fmt.Sprintf("d%d", i)), timing)
		}
		reader := accounting.NewBook("reader", timing)
		want := accounting.Counts{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				ws := ident.Workspace(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace"))
				books[i].Began(at, ws)
				want[ws]++
			case 2:
				other := rapid.IntRange(0, daemons-1).Draw(t, "other")
				books[other].Load(stored(t, books[i].Save(at)))
			case 3:
				reader.Load(stored(t, books[i].Save(at)))
			}
		}
		for _, b := range books {
			reader.Load(stored(t, b.Save(at)))
		}
		is.Equal(reader.Sum(window), want)
		again := accounting.NewBook("again", timing)
		again.Load(stored(t, reader.Save(at)))
		is.Equal(again.Sum(window), want)
	})
}

// stored is what is read of what was written.
func stored(t *rapid.T, s accounting.Saved) accounting.Saved {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var read accounting.Saved
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

// Guards against saved counts that grow with windows that are reported already or too late.
func TestOnlyOpenWindowsAreSaved(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_000_000, 0)
	b := accounting.NewBook("a", timing)
	for _, ago := range []time.Duration{25 * time.Second, 10 * time.Second, 5 * time.Second, 0} {
		b.Began(at.Add(-ago), "x")
	}
	b.Reported(b.WindowAt(at.Add(-10 * time.Second)))
	s := b.Save(at)
	is.Equal(len(s.Daemons), 1)
	is.Equal(len(s.Daemons[0].Windows), 2)
}
