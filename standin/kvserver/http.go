package kvserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/standin/jsonhttp"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Admin paths of the stand-in. The real service does not have them.
const (
	// PathFaults takes GET to read the injected faults and PUT to replace
	// them.
	PathFaults = "/faults"
	// PathExpire takes POST with a kv.LeaseBody and ends the lease at once.
	PathExpire = "/faults/expire-lease"
	// PathCompact takes POST and discards all changes so far.
	PathCompact = "/faults/compact"
	// PathCalls takes GET for the call counts and DELETE to reset them.
	PathCalls = "/calls"
	// PathPeak takes GET for the highest number of calls within one second.
	PathPeak = "/calls/peak"
)

// maxBodyBytes fits a value of MaxValueBytes in base64.
const maxBodyBytes = 4 * MaxValueBytes

// Handler serves the store's HTTP interface and the admin paths.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, kv.PathGet, func(ctx context.Context, r kv.GetRequest) (kv.Entry, error) {
		return s.Get(ctx, r.Key)
	})
	handle(mux, kv.PathList, func(ctx context.Context, r kv.ListRequest) (kv.ListResponse, error) {
		entries, err := s.List(ctx, r.Prefix, r.After, r.Limit)
		return kv.ListResponse{Entries: entries}, err
	})
	handle(mux, kv.PathCompareAndSwap, func(ctx context.Context, r kv.CompareAndSwapRequest) (kv.CompareAndSwapResponse, error) {
		revision, err := s.CompareAndSwap(ctx, r.Key, r.Expected, r.Value, r.Lease)
		return kv.CompareAndSwapResponse{Revision: revision}, err
	})
	handle(mux, kv.PathDelete, func(ctx context.Context, r kv.DeleteRequest) (jsonhttp.Empty, error) {
		return jsonhttp.Empty{}, s.Delete(ctx, r.Key, r.Expected)
	})
	handle(mux, kv.PathWatch, func(ctx context.Context, r kv.WatchRequest) (kv.WatchResponse, error) {
		events, revision, err := s.Watch(ctx, r.Prefix, r.After, time.Duration(r.WaitMillis)*time.Millisecond)
		return kv.WatchResponse{Events: events, Revision: revision}, err
	})
	s.handleLeases(mux)
	s.handleAdmin(mux)
	return mux
}

func (s *Store) handleLeases(mux *http.ServeMux) {
	handle(mux, kv.PathGrant, func(ctx context.Context, r kv.GrantRequest) (kv.LeaseBody, error) {
		lease, err := s.Grant(ctx, time.Duration(r.TTLMillis)*time.Millisecond)
		return kv.LeaseBody{Lease: lease}, err
	})
	handle(mux, kv.PathKeepAlive, func(ctx context.Context, r kv.LeaseBody) (jsonhttp.Empty, error) {
		return jsonhttp.Empty{}, s.KeepAlive(ctx, r.Lease)
	})
	handle(mux, kv.PathRevoke, func(ctx context.Context, r kv.LeaseBody) (jsonhttp.Empty, error) {
		return jsonhttp.Empty{}, s.Revoke(ctx, r.Lease)
	})
}

func (s *Store) handleAdmin(mux *http.ServeMux) {
	jsonhttp.HandleFaults(mux, PathFaults, s.Faults, s.SetFaults)
	handle(mux, PathExpire, func(_ context.Context, r kv.LeaseBody) (jsonhttp.Empty, error) {
		if !s.Expire(r.Lease) {
			return jsonhttp.Empty{}, &kv.LeaseExpiredError{Lease: r.Lease}
		}
		return jsonhttp.Empty{}, nil
	})
	mux.HandleFunc("POST "+PathCompact, func(w http.ResponseWriter, _ *http.Request) {
		s.Compact()
		jsonhttp.Write(w, http.StatusOK, jsonhttp.Empty{})
	})
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Calls())
	})
	mux.HandleFunc("GET "+PathPeak, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Peak())
	})
	mux.HandleFunc("DELETE "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		s.ResetCalls()
		jsonhttp.Write(w, http.StatusOK, jsonhttp.Empty{})
	})
}

func handle[Request, Response any](mux *http.ServeMux, path string, call func(context.Context, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
			jsonhttp.Write(w, http.StatusBadRequest, kv.ErrorBody{Code: kv.CodeMalformed, Message: err.Error()})
			return
		}
		response, err := call(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		jsonhttp.Write(w, http.StatusOK, response)
	})
}

// writeError responds with the code of a typed error. For a lost response it
// aborts the connection instead.
func writeError(w http.ResponseWriter, err error) {
	if lost := (*LostAnswerError)(nil); errors.As(err, &lost) {
		panic(http.ErrAbortHandler)
	}
	status, body := errorBody(err)
	body.Message = err.Error()
	jsonhttp.Write(w, status, body)
}

func errorBody(err error) (int, kv.ErrorBody) {
	var (
		conflict  *kv.ConflictError
		expired   *kv.LeaseExpiredError
		tooLarge  *kv.TooLargeError
		compacted *kv.CompactedError
	)
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, kv.ErrorBody{Code: kv.CodeConflict, Entry: &conflict.Current}
	case errors.As(err, &expired):
		return http.StatusNotFound, kv.ErrorBody{Code: kv.CodeLeaseExpired, Lease: expired.Lease}
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, kv.ErrorBody{Code: kv.CodeTooLarge, Size: tooLarge.Size, Limit: tooLarge.Limit}
	case errors.As(err, &compacted):
		return http.StatusGone, kv.ErrorBody{Code: kv.CodeCompacted, OldestRevision: compacted.Oldest, CurrentRevision: compacted.Current}
	default:
		return http.StatusServiceUnavailable, kv.ErrorBody{Code: kv.CodeUnavailable}
	}
}
