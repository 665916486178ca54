// Package jsonhttp holds the few HTTP helpers that the stand-ins share.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

const maxFaultsBytes = 64 << 10

// Empty is the JSON body "{}".
type Empty struct{}

// ErrorBody is the JSON body of an admin path's refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

// Write answers with a status and v as JSON. A failed write shows on the
// caller's side as a broken answer, so it is not reported here.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body into v, strictly, and answers 400 if it can't.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		Write(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return false
	}
	return true
}

// HandleFaults serves a set of fault switches: GET reads them, PUT replaces all.
func HandleFaults[T any](mux *http.ServeMux, path string, get func() T, set func(T)) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		Write(w, http.StatusOK, get())
	})
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var faults T
		if !Read(w, r, maxFaultsBytes, &faults) {
			return
		}
		set(faults)
		Write(w, http.StatusOK, get())
	})
}
