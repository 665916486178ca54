package soak_test

import (
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
	f.put("servers/x", "value")
	if took := time.Since(begun); took > 3*time.Second {
		t.Fatalf("the write took %v", took)
	}
	s.KV.SetFaults(kvserver.Faults{LoseAnswers: 1, LoseSilently: true})
	for s.Remove("servers/x") != nil {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the key was not removed")
		}
	}
}
