package demo

import (
	"context"
	"io"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/caller"
)

// LoadOptions configure a load on gateways that already run in other processes.
type LoadOptions struct {
	Fleet    string
	Gateways []string
	Seed     uint64
	For      time.Duration
	HTTP     *http.Client
	Progress io.Writer
}

// Load sends a fleet's load to running gateways and summarizes what callers observed.
// It expects stand-in engines, because it compares their answers with the tokens that
// they generate. It cannot see what runners executed, so it doesn't count actions that
// ran twice.
func Load(ctx context.Context, o LoadOptions) (Summary, error) {
	f, err := FleetNamed(o.Fleet)
	if err != nil {
		return Summary{}, err
	}
	t := newTally()
	began := time.Now()
	l := newLoad(f, t, caller.Config{Gateways: o.Gateways, HTTP: o.HTTP, RetryTimeout: requestTimeout}, o.Seed)
	sending, stop := context.WithTimeout(ctx, o.For)
	defer stop()
	working, stopWorking := context.WithTimeout(ctx, o.For+drainTimeout)
	defer stopWorking()
	l.generate(sending, working)
	s := t.summary()
	s.Fleet = f.Name
	s.Seconds = time.Since(began).Seconds()
	return s, nil
}
