package soak_test

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// fleet runs daemons as separate processes, against stand-ins for the store, the cloud
// and the runners in the test process.
type fleet struct {
	t          *testing.T
	dir        string
	binary     string
	store      *site.Store
	cloud      *site.Cloud
	daemons    []*daemon
	seed       int64
	attemptLog *attemptLog
	with       conditions
	// calling are the callers.
	calling sync.WaitGroup
	// calm is the time of the surge without faults. quietSince is when all faults and surges were over.
	calm       periods
	quietSince time.Time

	// hasServed says in the settings that the fleet has served before, so that a start isn't its first.
	hasServed atomic.Bool

	// configureMu serializes the operator's writes, so that versions grow in the order
	// in which the store accepts them.
	configureMu sync.Mutex

	mu             sync.Mutex
	runners        []*proxiedRunner
	removedRunners []*proxiedRunner
	// farLinks is the state of the links from other failure domains to the runners of each; runners that start
	// have it, too.
	farLinks map[string]link
	version  int
	// keys are the valid keys. revokedAt holds the time at which the store had
	// accepted the version that revoked a key.
	keys      []string
	revokedAt map[string]time.Time
	// keysIssued counts the keys issued so far.
	keysIssued int
	// resumedAt is the time at which a daemon, by name, last resumed after a pause.
	resumedAt map[string]time.Time
}

// fleetsStarted counts the fleets of this process.
var fleetsStarted atomic.Int32

func newFleet(t *testing.T, binary string, seed int64, daemons, runners int, with conditions) (*fleet, error) {
	f := &fleet{
		t: t, seed: seed, with: with, attemptLog: &attemptLog{seed: seed, byID: map[string]*attempt{}},
		dir: t.TempDir(), binary: binary, store: site.NewStore(), cloud: site.NewCloud(),
		revokedAt: map[string]time.Time{}, resumedAt: map[string]time.Time{}, keys: []string{"k0"},
		farLinks: map[string]link{},
	}
	f.configure()
	for range runners {
		if err := f.addRunner(); err != nil {
			return nil, err
		}
	}
	fleetNumber := fleetsStarted.Add(1)
	for i := range daemons {
		// Fleets that run at the same time on one machine, even with the same seed,
		// must not share addresses.
		d, err := f.newDaemon(fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+fleetNumber%250, 11+i), f.daemonZone(i))
		if err != nil {
			return nil, err
		}
		f.mu.Lock()
		f.daemons = append(f.daemons, d)
		f.mu.Unlock()
	}
	for _, d := range f.daemons {
		d.start()
	}
	return f, nil
}

// noSeed is the address of a daemon that isn't there.
const noSeed = "127.0.0.1:1"

// startFleet builds the daemon and starts a fleet, which is closed with the test, and waits until it is ready.
func startFleet(t *testing.T, daemons, runners int, with conditions) *fleet {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(t, binary, 1, daemons, runners, with)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	f.waitReady(10 * time.Second)
	if !with.firstStarts {
		f.noteServed()
	}
	return f
}

// noteServed makes the settings of all daemons say that the fleet has served before.
func (f *fleet) noteServed() {
	f.hasServed.Store(true)
	for _, d := range f.daemons {
		if err := d.writeSettings(noSeed); err != nil {
			f.t.Errorf("settings of %s: %v", d.Name(), err)
		}
	}
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.close()
	}
	for _, r := range f.allRunners() {
		r.proxy.close()
		r.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	f.cloud.CloseClientConnections()
	f.cloud.Close()
}
