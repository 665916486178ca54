// Package site holds small stand-ins for the customers' platform that tests reach
// through the platform's published protocol: the metadata store (backed by package
// kvserver with its fault injection), runners that can violate HTTP, and the cloud API.
// The wire names are repeated here instead of being shared with the platform adapter,
// so that tests detect a wrong name in the adapter.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Store serves a kvserver.Store through the platform's protocol.
type Store struct {
	*httptest.Server
	KV *kvserver.Store
	// PageSize is the maximum number of items in one page of a list.
	PageSize int

	// written holds what the operator and the runners wrote last under each key. Their writes wait for mu
	// while the store comes back from a copy.
	mu      sync.Mutex
	written map[string]kv.Event
}

const (
	defaultPageSize = 500
	// directCallTimeout bounds the calls of Put, PutBytes and Remove, which would block
	// forever when a fault drops the response without an error.
	directCallTimeout = time.Second
)

// NewStore starts a store on the loopback interface.
func NewStore() *Store {
	s := &Store{KV: kvserver.New(), PageSize: defaultPageSize, written: map[string]kv.Event{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transact)
	mux.HandleFunc("POST /v1/kv-lease", s.grantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keepLeaseAlive)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.revokeLease)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&historyWriter{ResponseWriter: w, store: s.KV}, r)
	}))
	return s
}

// Address returns the store's IP address and port.
func (s *Store) Address() string { return s.Listener.Addr().String() }

// Put writes value as JSON, whatever the key's present revision.
func (s *Store) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.PutBytes(key, data)
}

// PutBytes writes data without encoding it, so that tests can store invalid JSON.
func (s *Store) PutBytes(key string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), directCallTimeout)
	defer cancel()
	entry, err := s.KV.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = s.KV.CompareAndSwap(ctx, key, entry.Revision, data, 0)
	if err == nil {
		s.written[key] = kv.Event{Entry: kv.Entry{Key: key, Value: data}}
	}
	return err
}

// ReturnFromCopy makes the store come back from a copy. What the operator and the runners wrote since is
// written again before it answers.
func (s *Store) ReturnFromCopy(c *kvserver.Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.KV.Restore(c, slices.Collect(maps.Values(s.written))...)
}

// Remove deletes a key, whatever its present revision. A missing key is no error.
func (s *Store) Remove(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), directCallTimeout)
	defer cancel()
	entry, err := s.KV.Get(ctx, key)
	if err != nil {
		return err
	}
	if entry.Revision == 0 {
		// The response to an earlier attempt to remove the key was lost.
		s.written[key] = kv.Event{Entry: kv.Entry{Key: key}, Deleted: true}
		return nil
	}
	err = s.KV.Delete(ctx, key, entry.Revision)
	if err == nil {
		s.written[key] = kv.Event{Entry: kv.Entry{Key: key}, Deleted: true}
	}
	return err
}

// historyWriter states the number of the store's history in every response.
type historyWriter struct {
	http.ResponseWriter
	store *kvserver.Store
}

// WriteHeader implements http.ResponseWriter.
func (w *historyWriter) WriteHeader(status int) {
	w.Header().Set("Store-Era", strconv.FormatUint(w.store.History(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// revision returns the revision with a number in the store's present history: the protocol's numbers
// don't say which history they belong to.
func (s *Store) revision(number uint64) kv.Revision { return kv.RevisionIn(s.KV.History(), number) }

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func toWireItem(e kv.Entry) wireItem {
	return wireItem{Key: e.Key, Value: e.Value, Revision: e.Revision.Number(), Lease: uint64(e.Lease)}
}

func (s *Store) currentRevision() uint64 {
	return s.KV.LastRevision().Number()
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.KV.Get(r.Context(), r.URL.Query().Get("key"))
	if writeFailure(w, err) {
		return
	}
	if entry.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, toWireItem(entry))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries, err := s.KV.List(r.Context(), q.Get("path_prefix"), q.Get("after"), s.PageSize+1)
	if writeFailure(w, err) {
		return
	}
	more := len(entries) > s.PageSize
	items := []wireItem{}
	for _, e := range entries[:min(len(entries), s.PageSize)] {
		items = append(items, toWireItem(e))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.currentRevision()})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	changes, next, err := s.KV.Watch(r.Context(), q.Get("path_prefix"), s.revision(after), time.Duration(wait)*time.Millisecond)
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	if writeFailure(w, err) {
		return
	}
	items := []wireItem{}
	for _, c := range changes {
		item := toWireItem(c.Entry)
		item.Deleted = c.Deleted
		items = append(items, item)
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": items, "store_revision": next.Number()})
}

type wireTransaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// transact supports only the transactions that the platform adapter sends: one expected
// revision with one put or one removal.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t wireTransaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected) != 1 || len(t.Puts)+len(t.Remove) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var revision kv.Revision
	var err error
	expected := s.revision(t.Expected[0].Revision)
	if len(t.Puts) == 1 {
		revision, err = s.KV.CompareAndSwap(r.Context(), t.Puts[0].Key, expected, t.Puts[0].Value, kv.LeaseID(t.Puts[0].Lease))
	} else {
		err = s.KV.Delete(r.Context(), t.Remove[0], expected)
	}
	var conflict *kv.ConflictError
	var expired *kv.LeaseExpiredError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []wireItem{toWireItem(conflict.Current)}})
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusNotFound)
	case !writeFailure(w, err):
		writeJSON(w, http.StatusOK, map[string]uint64{"revision": revision.Number()})
	}
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.KV.Grant(r.Context(), time.Duration(request.TTL)*time.Millisecond)
	if !writeFailure(w, err) {
		writeJSON(w, http.StatusOK, map[string]uint64{"lease": uint64(id), "ttl_ms": uint64(request.TTL)})
	}
}

func (s *Store) keepLeaseAlive(w http.ResponseWriter, r *http.Request) {
	s.callWithLease(w, r, s.KV.KeepAliveAnyHistory)
}

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.callWithLease(w, r, s.KV.Revoke)
}

func (s *Store) callWithLease(w http.ResponseWriter, r *http.Request, call func(context.Context, kv.LeaseID) error) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	err := call(r.Context(), kv.LeaseID(id))
	var expired *kv.LeaseExpiredError
	if errors.As(err, &expired) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !writeFailure(w, err) {
		writeJSON(w, http.StatusOK, map[string]int{"ttl_ms": 0})
	}
}

// writeFailure responds with status 503 if err is set, and reports whether it is. For a
// lost response it aborts the connection instead.
func writeFailure(w http.ResponseWriter, err error) bool {
	var lost *kvserver.LostAnswerError
	switch {
	case err == nil:
		return false
	case errors.As(err, &lost):
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only when the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
