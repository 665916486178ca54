package soak_test

import (
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/site"
)

// The store silently loses the answer to an operator's write. The write used to block
// forever, and the soak injected no further faults (seeds 100 and 130).
func TestOperatorWriteSurvivesLostAnswer(t *testing.T) {
	s := site.NewStore()
	defer s.Close()
	f := &fleet{t: t, store: s}
	s.KV.SetFaults(kvserver.Faults{LoseAnswers: 1, LoseSilently: true})
	begun := time.Now()
	f.retryUntilAccepted(func() error { return s.RegisterRunner("x", "127.0.0.1:1", site.Ready) })
	if took := time.Since(begun); took > 3*time.Second {
		t.Fatalf("the operator's write took %v, want at most 3s", took)
	}
	s.KV.SetFaults(kvserver.Faults{LoseAnswers: 1, LoseSilently: true})
	for s.DeregisterRunner("x") != nil {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the key was not removed")
		}
	}
}

// Several key rotations run at once. Two keys that were issued at the same time used
// to get the same name: one was revoked while the other stayed valid, so its use
// looked like the use of a revoked key (seed 1796271212).
func TestRotatedKeysAreNew(t *testing.T) {
	s := site.NewStore()
	defer s.Close()
	f := &fleet{t: t, store: s, keys: []string{"k0"}, revokedAt: map[string]time.Time{}}
	var rotating sync.WaitGroup
	for range 16 {
		rotating.Go(func() { f.rotateKey() })
	}
	rotating.Wait()
	for _, key := range f.keys {
		if _, ok := f.revokedAt[key]; ok {
			t.Errorf("key %q is both valid and revoked", key)
		}
	}
	if len(f.revokedAt) != 16 {
		t.Errorf("%d of 16 keys revoked", len(f.revokedAt))
	}
}
