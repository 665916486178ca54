package soak_test

import (
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/site"
)

// The store loses an operator's answer without a word. The operator's write stood still
// for good, and with it the soak (seeds 100 and 130): nothing more was injected.
func TestOwnersWriteSurvivesLostAnswer(t *testing.T) {
	s := site.NewStore()
	defer s.Close()
	f := &fleet{t: t, store: s}
	s.KV.SetFaults(kvserver.Faults{LoseAnswers: 1, LoseSilently: true})
	begun := time.Now()
	f.until(func() error { return s.RegisterRunner("x", "127.0.0.1:1", site.Ready) })
	if took := time.Since(begun); took > 3*time.Second {
		t.Fatalf("the write took %v", took)
	}
	s.KV.SetFaults(kvserver.Faults{LoseAnswers: 1, LoseSilently: true})
	for s.DeregisterRunner("x") != nil {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the key was not removed")
		}
	}
}

// Keys are taken away several at a time. Two that were given out at once bore the same
// name: one was taken away while the other stayed in force, and its use looked like that
// of a revoked key (seed 1796271212).
func TestRotatedKeysAreNew(t *testing.T) {
	s := site.NewStore()
	defer s.Close()
	f := &fleet{t: t, store: s, keys: []string{"k0"}, retired: map[string]time.Time{}}
	var rotating sync.WaitGroup
	for range 16 {
		rotating.Go(func() { f.rotate() })
	}
	rotating.Wait()
	for _, key := range f.keys {
		if _, ok := f.retired[key]; ok {
			t.Errorf("%q is in force and taken away", key)
		}
	}
	if len(f.retired) != 16 {
		t.Errorf("%d of 16 keys taken away", len(f.retired))
	}
}
