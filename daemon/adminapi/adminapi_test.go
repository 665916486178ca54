package adminapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/adminapi"
	"geraniumstack.org/geraniumstack/daemon/control"
	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
	"geraniumstack.org/geraniumstack/standin/kvserver"
)

// handlerTransport calls a handler directly, without a network.
type handlerTransport struct {
	http.Handler
	key string
}

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.key != "" {
		r.Header.Set("Authorization", "Bearer "+d.key)
	}
	recorder := httptest.NewRecorder()
	d.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

type testDaemon struct {
	store   *kvserver.Store
	control *control.Control
	handler http.Handler
}

// clientWithKey returns a client that authenticates with a bearer key.
func (b *testDaemon) clientWithKey(key string) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(&http.Client{Transport: handlerTransport{b.handler, key}}, "http://admin")
}

func credential(name string, role adminapi.Role) adminapi.Credential {
	sum := sha256.Sum256([]byte(name + "-key"))
	return adminapi.Credential{Name: name, KeyHash: hex.EncodeToString(sum[:]), Role: role}
}

// withDaemon runs a test in virtual time with one daemon as the only member of
// one failure domain.
func withDaemon(t *testing.T, test func(is *is.I, b *testDaemon)) {
	synctest.Test(t, func(t *testing.T) {
		store := kvserver.New()
		c := control.New(control.Config{
			Self: view.Daemon{
				ID: "entry-0", Incarnation: "entry-0~01", FailureDomain: "lima-norte",
				CallerAddress: "10.0.0.1:8000", PeerAddress: "10.0.0.1:7000",
			},
			Store: store, HTTPClient: &http.Client{Transport: handlerTransport{Handler: http.NotFoundHandler()}},
		})
		_, handler := adminapi.NewHandler(adminapi.Config{
			Control: c, Store: store,
			Credentials: []adminapi.Credential{credential("ana", adminapi.Operator), credential("vera", adminapi.Viewer)},
			Usage: func() []adminapi.Usage {
				return []adminapi.Usage{{Workspace: "owners", Accepted: 3, Refused: map[string]int64{"overloaded": 1}}}
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		synctest.Wait()
		test(is.New(t), &testDaemon{store, c, handler})
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		store.Close()
	})
}

func exampleManifest(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/huaman.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func apply(b *testDaemon, data []byte, id string, expected int64) (*connect.Response[adminv1.ApplyResponse], error) {
	return b.clientWithKey("ana-key").Apply(context.Background(), connect.NewRequest(&adminv1.ApplyRequest{
		Manifest: data, SubmissionId: id, ExpectedGeneration: expected,
	}))
}

func TestOnlyOperatorsChangeAnything(t *testing.T) {
	withDaemon(t, func(is *is.I, b *testDaemon) {
		ctx := context.Background()
		for _, key := range []string{"", "wrong"} {
			_, err := b.clientWithKey(key).Status(ctx, connect.NewRequest(&adminv1.StatusRequest{}))
			is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
		}
		viewer := b.clientWithKey("vera-key")
		_, err := viewer.Status(ctx, connect.NewRequest(&adminv1.StatusRequest{}))
		is.NoErr(err)
		usage, err := viewer.Usage(ctx, connect.NewRequest(&adminv1.UsageRequest{}))
		is.NoErr(err)
		is.Equal(usage.Msg.GetWorkspaces()[0].GetRefused()["overloaded"], int64(1))
		_, err = viewer.Apply(ctx, connect.NewRequest(&adminv1.ApplyRequest{Manifest: exampleManifest(t), SubmissionId: "x"}))
		is.Equal(connect.CodeOf(err), connect.CodePermissionDenied)
		_, err = viewer.Drain(ctx, connect.NewRequest(&adminv1.DrainRequest{Target: "entry-0"}))
		is.Equal(connect.CodeOf(err), connect.CodePermissionDenied)
		_, err = viewer.Rollback(ctx, connect.NewRequest(&adminv1.RollbackRequest{ToGeneration: 1, SubmissionId: "x"}))
		is.Equal(connect.CodeOf(err), connect.CodePermissionDenied)
	})
}

func TestApplyDiffRollbackAndHistory(t *testing.T) {
	withDaemon(t, func(is *is.I, b *testDaemon) {
		ctx := context.Background()
		response, err := apply(b, exampleManifest(t), "one", 0)
		is.NoErr(err)
		is.Equal(response.Msg.GetGeneration(), uint64(1))
		is.True(response.Msg.GetInForceEverywhere())
		repeated, err := apply(b, exampleManifest(t), "one", 0)
		is.NoErr(err)
		is.Equal(repeated.Msg.GetGeneration(), uint64(1)) // the same submission is accepted once

		changed := []byte(strings.Replace(string(exampleManifest(t)), `"runners": 12`, `"runners": 13`, 1))
		diff, err := b.clientWithKey("vera-key").Diff(ctx, connect.NewRequest(&adminv1.DiffRequest{Manifest: changed}))
		is.NoErr(err)
		is.Equal(len(diff.Msg.GetChanges()), 1)
		is.Equal(diff.Msg.GetChanges()[0].GetPath(), "/services/asistente/runners")
		_, err = apply(b, changed, "two", 1)
		is.NoErr(err)
		_, err = apply(b, changed, "three", 1)
		is.Equal(connect.CodeOf(err), connect.CodeAborted)
		is.True(strings.Contains(err.Error(), "generation 2"))

		back, err := b.clientWithKey("ana-key").Rollback(ctx, connect.NewRequest(&adminv1.RollbackRequest{
			ToGeneration: 1, ExpectedGeneration: 2, SubmissionId: "four",
		}))
		is.NoErr(err)
		is.Equal(back.Msg.GetGeneration(), uint64(3))
		m, _ := b.control.Current()
		is.Equal(m.Services[0].Runners, 12)

		history, err := b.clientWithKey("vera-key").History(ctx, connect.NewRequest(&adminv1.HistoryRequest{}))
		is.NoErr(err)
		is.Equal(len(history.Msg.GetEntries()), 3)
		is.Equal(history.Msg.GetEntries()[0].GetAuthor(), "ana")
		is.Equal(len(history.Msg.GetAudit()), 5) // the conflicting apply is in the audit log, too
	})
}

func TestApplyReportsEveryProblem(t *testing.T) {
	withDaemon(t, func(is *is.I, b *testDaemon) {
		var m map[string]any
		is.NoErr(json.Unmarshal(exampleManifest(t), &m))
		fleet := m["fleet"].(map[string]any)
		fleet["max_cost_per_hour"] = 1
		fleet["failure_domains"] = []string{"one"}
		data, err := json.Marshal(m)
		is.NoErr(err)
		_, err = apply(b, data, "one", 0)
		is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
		var e *connect.Error
		is.True(asError(err, &e))
		is.Equal(len(e.Details()), 2)
		_, err = apply(b, exampleManifest(t), "", 0)
		is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	})
}

// The key-value service is down when an operator applies a manifest. The error
// must say that nothing was accepted; otherwise the operator could not tell
// whether to try again.
func TestApplyInOutageSaysThatNothingHappened(t *testing.T) {
	withDaemon(t, func(is *is.I, b *testDaemon) {
		b.store.SetFaults(kvserver.Faults{Outage: true})
		_, err := apply(b, exampleManifest(t), "one", 0)
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
		b.store.SetFaults(kvserver.Faults{})
		time.Sleep(10 * time.Second)
		_, generation := b.control.Current()
		is.Equal(int(generation), 0)
	})
}

func TestDrainIsFinal(t *testing.T) {
	withDaemon(t, func(is *is.I, b *testDaemon) {
		ctx := context.Background()
		_, err := b.clientWithKey("ana-key").Drain(ctx, connect.NewRequest(&adminv1.DrainRequest{Target: "nobody"}))
		is.Equal(connect.CodeOf(err), connect.CodeNotFound)
		_, err = b.clientWithKey("ana-key").Drain(ctx, connect.NewRequest(&adminv1.DrainRequest{Target: "entry-0"}))
		is.NoErr(err)
		is.Equal(b.control.Self().State, view.Leaving)
	})
}

func asError(err error, target **connect.Error) bool {
	e, ok := err.(*connect.Error)
	*target = e
	return ok
}
