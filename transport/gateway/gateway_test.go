package gateway_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/usage"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
	"geraniumstack.org/geraniumstack/transport/gateway"
)

const callerKey = "key-a"

// fakeBackend implements all interfaces that the gateway calls.
type fakeBackend struct {
	manifest   *manifest.Manifest
	tokens     []string
	readError  error
	submitted  []call.ModelRequest
	executed   []call.ServiceCall
	repeatable []call.ServiceCall
	block      chan struct{}
}

func (f *fakeBackend) Current() (*manifest.Manifest, ident.Generation) { return f.manifest, 1 }
func (f *fakeBackend) Changed() <-chan struct{}                        { return nil }
func (f *fakeBackend) Self() view.Daemon                               { return f.Daemons()[0] }
func (f *fakeBackend) Runners(string) []view.Runner                    { return nil }
func (f *fakeBackend) NoteRunnerLeaving(string, time.Duration)         {}
func (f *fakeBackend) Daemons() []view.Daemon {
	return []view.Daemon{
		{ID: "a", FailureDomain: "x", CallerAddress: "10.0.0.1:1", State: view.Live},
		{ID: "b", FailureDomain: "y", CallerAddress: "10.0.0.2:1", State: view.Live},
		{ID: "c", FailureDomain: "y", CallerAddress: "10.0.0.3:1", State: view.Leaving},
		{ID: "d", FailureDomain: "x", CallerAddress: "10.0.0.4:1", State: view.Suspect},
	}
}

func (f *fakeBackend) Submit(_ context.Context, r call.ModelRequest) error {
	f.submitted = append(f.submitted, r)
	return nil
}

func (f *fakeBackend) Read(ctx context.Context, _ ident.Workspace, _ ident.RequestID, offset int, sink func(call.Event) error) error {
	for i := offset; i < len(f.tokens); i++ {
		if err := sink(call.Event{Offset: i, Token: f.tokens[i]}); err != nil {
			return err
		}
	}
	if f.block != nil {
		select {
		case <-f.block:
		case <-ctx.Done():
			return refusal.New(refusal.Cancelled, "reader went away").Unknown()
		}
	}
	if f.readError != nil {
		return f.readError
	}
	return sink(call.Event{Offset: len(f.tokens), Done: true, FinishReason: "length"})
}

func (f *fakeBackend) Cancel(context.Context, ident.Workspace, ident.RequestID) error { return nil }

func (f *fakeBackend) Execute(_ context.Context, c call.ServiceCall) (call.Answer, error) {
	f.executed = append(f.executed, c)
	return call.Answer{Status: http.StatusConflict, Body: []byte("taken")}, nil
}

func (f *fakeBackend) Outcome(context.Context, ident.Workspace, string) (call.Answer, bool, error) {
	return call.Answer{}, true, nil
}
func (f *fakeBackend) Token() (string, time.Duration) { return "token:", time.Minute }

func (f *fakeBackend) Call(_ context.Context, c call.ServiceCall) (call.Answer, error) {
	f.repeatable = append(f.repeatable, c)
	return call.Answer{Status: http.StatusOK, Body: []byte("open")}, nil
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{
		tokens: []string{"a ", "b ", "c "},
		manifest: &manifest.Manifest{
			Models:     []manifest.Model{{Name: "m", Service: "s"}},
			Workspaces: []manifest.Workspace{{Name: "w", KeyHashes: []string{hash(callerKey)}, Weight: 1}},
			Classes: []manifest.Class{
				{Name: "pledges", Priority: 9, DeadlineMillis: 400}, {Name: "chat", Priority: 5},
				{Name: "review", Priority: 1, Deferrable: true},
			},
			Services: []manifest.Service{{Name: "casos", Kind: manifest.KindPlain, Routes: []manifest.Route{
				{Method: "GET", Path: "/cases", Repeatable: true},
				{Method: "POST", Path: "/pledges", OutagePolicy: manifest.OutageRun, Class: "pledges"},
			}}},
		},
	}
}

func newGateway(f *fakeBackend) (*gateway.Gateway, metrics.Registry) {
	registry := metrics.NewRegistry()
	n := 0
	return gateway.New(gateway.Config{
		Configuration: f, Directory: f, Models: f, Actions: f, Services: f,
		NewRequestID: func() ident.RequestID { n++; return ident.RequestID(fmt.Sprintf("r%d", n)) },
		Usage:        usage.NewTable(), Metrics: registry, Requests: callerlimit.NewRequests(1 << 20),
		Limits: gateway.Limits{
			MaxBodyBytes: 1000, MaxConcurrent: 2, ReadTimeout: time.Second, WriteTimeout: time.Second,
			Heartbeat: time.Second, GatewayListTTL: time.Second, MaxServiceTimeout: time.Second,
		},
	}), registry
}

func send(g http.Handler, method, path, body string, headers ...string) *http.Response {
	server := httptest.NewServer(g)
	defer server.Close()
	r, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		panic(err)
	}
	data, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	resp.Body = io.NopCloser(strings.NewReader(string(data)))
	return resp
}

// A caller sends invalid requests. The refusal must name the reason and say that nothing was
// executed, and each reason must be counted for the operator.
func TestBadInputIsRefusedWithReasonAndCounter(t *testing.T) {
	validBody := `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   refusal.Reason
	}{
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, refusal.BadRequest},
		{"empty prompt", "POST", "/v1/completions", `{"model":"m"}`, nil, 400, refusal.BadRequest},
		{"too large", "POST", "/v1/completions", `{"prompt":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, refusal.BodyTooLarge},
		{"unknown model", "POST", "/v1/completions", `{"model":"z","prompt":"p"}`, nil, 404, refusal.UnknownModel},
		{"unknown class", "POST", "/v1/completions", `{"model":"m","prompt":"p","service_tier":"z"}`, nil, 400, refusal.BadRequest},
		{"negative bound", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":-1}`, nil, 400, refusal.BadRequest},
		{"bad timeout", "POST", "/v1/chat/completions", validBody, []string{"X-Timeout-Ms", "soon"}, 400, refusal.BadRequest},
		{"no such workspace", "POST", "/v1/chat/completions", validBody, []string{"Authorization", "Bearer other"}, 401, refusal.Unauthenticated},
		{"no key", "GET", "/v1/models", "", []string{"Authorization", "Basic x"}, 401, refusal.Unauthenticated},
		{"wrong method", "PUT", "/v1/chat/completions", validBody, nil, 405, refusal.UnsupportedMethod},
		{"no such path", "GET", "/v2/chat", "", nil, 404, refusal.UnknownRoute},
		{"unknown service", "GET", "/v1/services/z/cases", "", nil, 404, refusal.UnknownService},
		{"unknown route", "DELETE", "/v1/services/casos/cases", "", nil, 404, refusal.UnknownRoute},
		{"route by part of a segment", "GET", "/v1/services/casos/casesX", "", nil, 404, refusal.UnknownRoute},
		{"action without key", "POST", "/v1/services/casos/pledges", "{}", nil, 400, refusal.KeyRequired},
		{"bad event id", "GET", "/v1/requests/r1", "", []string{"Last-Event-ID", "x"}, 400, refusal.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeBackend()
			g, registry := newGateway(f)
			resp := send(g, tt.method, tt.path, tt.body, tt.headers...)
			is.Equal(resp.StatusCode, tt.status)
			var body gateway.ErrorBody
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(body.Error.Code, tt.reason)
			is.Equal(body.Error.Executed, refusal.ExecutedNo)
			is.Equal(metrics.GetOrRegisterCounter("refused."+string(tt.reason), registry).Count(), int64(1))
			is.Equal(len(f.submitted)+len(f.executed)+len(f.repeatable), 0)
		})
	}
}

func TestStreamHasOffsetsAndResumes(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	g, _ := newGateway(f)
	resp := send(g, "POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`)
	text, _ := io.ReadAll(resp.Body)
	is.Equal(resp.Header.Get("X-Request-Id"), "r1")
	is.Equal(strings.Count(string(text), "data: {"), 4)
	is.True(strings.HasSuffix(string(text), "data: [DONE]\n\n"))
	is.Equal(f.submitted[0].Prompt, "user: hi")
	is.Equal(f.submitted[0].Class, "chat") // without a class, the request gets no higher priority
	resp = send(g, "GET", "/v1/requests/r1", "", "Last-Event-ID", "2")
	text, _ = io.ReadAll(resp.Body)
	is.Equal(strings.Count(string(text), "data: {"), 2) // the third token and the end
	is.True(strings.Contains(string(text), "id: 3\n"))
}

// A caller resumes a request that is no longer known. It must get an error status and a refusal
// instead of a stream that looks accepted.
func TestUnknownRequestStartsNoStream(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	f.tokens, f.readError = nil, refusal.New(refusal.UnknownRequest, "no such request").Unknown()
	g, _ := newGateway(f)
	is.Equal(send(g, "GET", "/v1/requests/r9", "", "Last-Event-ID", "2").StatusCode, 404)
}

// The gateway crashes while a request waits for its first token. The caller must already know the
// request's ID, because otherwise it could only submit the request again.
func TestAcceptedStreamShowsItsIDBeforeTheFirstToken(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	f.tokens, f.block = nil, make(chan struct{})
	g, _ := newGateway(f)
	server := httptest.NewServer(g)
	defer server.Close()
	r, _ := http.NewRequest("POST", server.URL+"/v1/chat/completions", strings.NewReader(
		`{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.Equal(resp.Header.Get("X-Request-Id"), "r1")
	close(f.block)
	resp.Body.Close()
}

// A request is refused after its first tokens were sent. The caller must see an error event and no
// [DONE]; otherwise it would take an incomplete answer for a complete one.
func TestRefusalInStreamOmitsDone(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	f.readError = refusal.New(refusal.DeadlineExceeded, "too late").Unknown()
	g, registry := newGateway(f)
	resp := send(g, "POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`)
	text, _ := io.ReadAll(resp.Body)
	is.True(strings.Contains(string(text), "event: error"))
	is.True(!strings.Contains(string(text), "[DONE]"))
	is.Equal(metrics.GetOrRegisterCounter("answered_whole.model", registry).Count(), int64(0))
}

func TestServiceCallsFollowTheManifest(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	g, _ := newGateway(f)
	resp := send(g, "GET", "/v1/services/casos/cases/7?full=1", "", "X-Case", "7", "Connection", "close")
	is.Equal(resp.StatusCode, 200)
	is.Equal(f.repeatable[0].Path, "/cases/7?full=1")
	resp = send(g, "POST", "/v1/services/casos/pledges", "{}", "Idempotency-Key", "k")
	is.Equal(resp.StatusCode, 409) // the runner's own answer
	is.Equal(resp.Header.Get("X-Executed"), "yes")
	is.Equal(f.executed[0].Key, "k")
	for _, h := range f.executed[0].Headers {
		is.True(h.Name != "Authorization" && h.Name != "Idempotency-Key")
	}
}

// A call with an idempotency key is executed, but its answer is lost. The caller retries it at a
// draining gateway. If the gateway answered "not executed", the caller would call again with a new
// key and the action would run twice. The draining gateway can't know whether the key was executed.
func TestRefusedRetryWithKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(newFakeBackend())
	g.StopAccepting()
	for _, key := range []string{"", "k"} {
		resp := send(g, "POST", "/v1/services/casos/pledges", "{}", "Idempotency-Key", key)
		var body gateway.ErrorBody
		is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
		is.Equal(body.Error.Code, refusal.Draining)
		want := refusal.ExecutedNo
		if key != "" {
			want = refusal.ExecutedUnknown
		}
		is.Equal(body.Error.Executed, want)
	}
}

// A runner receives a call and never answers. A caller that sets no timeout must get the outcome
// "unknown" within the deadline of the call's class and not only after the gateway's limit for all
// calls.
func TestServiceCallHasTheDeadlineOfItsClass(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	g, _ := newGateway(f)
	start := time.Now()
	send(g, "POST", "/v1/services/casos/pledges", "{}", "Idempotency-Key", "k")
	send(g, "POST", "/v1/services/casos/pledges", "{}", "Idempotency-Key", "k", "X-Timeout-Ms", "90000")
	is.True(f.executed[0].Deadline.Before(start.Add(900 * time.Millisecond)))
	is.True(f.executed[1].Deadline.After(start.Add(time.Minute)))
}

func TestGatewayListLeavesOutDraining(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(newFakeBackend())
	var list gateway.GatewayList
	is.NoErr(json.NewDecoder(send(g, "GET", "/v1/gateways?failure_domain=y", "").Body).Decode(&list))
	ids := []ident.DaemonID{}
	for _, e := range list.Gateways {
		ids = append(ids, e.ID)
	}
	is.Equal(ids, []ident.DaemonID{"b", "a", "d"}) // requested failure domain first, suspect daemon last
	is.Equal(list.KeyToken, "token:")
}

func TestNewWorkIsRefusedBeforeConfigurationAndWhileDraining(t *testing.T) {
	is := is.New(t)
	f := newFakeBackend()
	g, _ := newGateway(f)
	m := f.manifest
	f.manifest = nil
	is.Equal(send(g, "POST", "/v1/completions", `{"model":"m","prompt":"p"}`).StatusCode, 503)
	f.manifest = m
	g.StopAccepting()
	is.Equal(send(g, "POST", "/v1/completions", `{"model":"m","prompt":"p"}`).StatusCode, 503)
	is.Equal(len(f.submitted), 0)
}

// A caller opens a stream and never reads. Its socket buffer fills, and without a write timeout the
// handler would occupy memory and a slot of the concurrency limit forever.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeBackend()
		g, _ := newGateway(f)
		client, server := net.Pipe()
		listener := &singleConnListener{conn: make(chan net.Conn, 1), done: make(chan struct{})}
		listener.conn <- server
		s := &http.Server{Handler: g}
		go s.Serve(listener)
		body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
		fmt.Fprintf(client, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
		time.Sleep(10 * time.Second) // virtual time
		synctest.Wait()
		data, err := io.ReadAll(client)
		is.NoErr(err) // the server has closed its end of the connection
		is.True(!strings.Contains(string(data), "[DONE]"))
		s.Close()
	})
}

type singleConnListener struct {
	conn chan net.Conn
	done chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }
