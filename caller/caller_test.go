package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/caller"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/gateway"
)

// scriptedGateway is a gateway that gives prepared answers to calls, in order.
type scriptedGateway struct {
	server  *httptest.Server
	answers []gateway.ErrorDetail // an empty code stands for an answer of the runner
	keys    []string
	tokens  int
}

func newScriptedGateway(answers ...gateway.ErrorDetail) *scriptedGateway {
	s := &scriptedGateway{answers: answers}
	s.server = httptest.NewServer(s)
	return s
}

func (s *scriptedGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/gateways" {
		s.tokens++
		list := gateway.GatewayList{
			KeyToken: fmt.Sprintf("token%d:", s.tokens), LifetimeMillis: 60_000,
			Gateways: []gateway.GatewayEntry{{ID: "g", Address: strings.TrimPrefix(s.server.URL, "http://"), Weight: 1}},
		}
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	next := s.answers[0]
	s.answers = s.answers[1:]
	if next.Code == "" {
		w.Header().Set("X-Executed", "yes")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(gateway.ErrorBody{Error: next})
}

func doAction(s *scriptedGateway) error {
	defer s.server.Close()
	client := caller.New(caller.Config{Gateways: []string{s.server.URL}, Key: "k"})
	_, err := client.DoAction(context.Background(), caller.Call{Service: "casos", Method: http.MethodPost, Path: "/pledges"})
	return err
}

// A draining gateway answers the retry of an action with executed "unknown".
// The action may have run, so the caller must retry under the same key; under a
// new key it could run twice.
func TestUnknownOutcomeIsRetriedUnderSameKey(t *testing.T) {
	is := is.New(t)
	s := newScriptedGateway(gateway.ErrorDetail{Code: refusal.Draining, Executed: refusal.ExecutedUnknown, RetryAfterMillis: 1}, gateway.ErrorDetail{})
	is.NoErr(doAction(s))
	is.Equal(len(slices.Compact(s.keys)), 1)
}

// A key owner that has lost its journal refuses a key permanently, so retrying
// under the same key would never succeed. Nothing ran, so the caller may use a
// new key.
func TestUnexecutedActionIsRetriedUnderNewKey(t *testing.T) {
	is := is.New(t)
	s := newScriptedGateway(gateway.ErrorDetail{Code: refusal.JournalUnavailable, Executed: refusal.ExecutedNo, RetryAfterMillis: 1}, gateway.ErrorDetail{})
	is.NoErr(doAction(s))
	is.Equal(len(slices.Compact(s.keys)), 2)
	is.True(strings.HasPrefix(s.keys[1], "token2:")) // the key begins with a new key token
}

func TestFinalRefusalsAreNotRetried(t *testing.T) {
	for _, detail := range []gateway.ErrorDetail{
		{Code: refusal.OutcomeUnknown, Executed: refusal.ExecutedUnknown},
		{Code: refusal.BadRequest, Executed: refusal.ExecutedNo},
	} {
		is := is.New(t)
		s := newScriptedGateway(detail)
		is.True(doAction(s) != nil)
		is.Equal(len(s.keys), 1)
	}
}
