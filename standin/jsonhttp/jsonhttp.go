// Package jsonhttp holds the HTTP helpers that the stand-ins share.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

const maxFaultsBytes = 64 << 10

// Empty is the JSON body "{}".
type Empty struct{}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Write responds with a status and v as JSON. It ignores a failed write,
// because the caller sees an incomplete response then.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the request body into v and reports whether it succeeded. It
// rejects unknown fields and bodies over limit bytes with status 400.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		Write(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return false
	}
	return true
}

// HandleFaults serves the injected faults of a stand-in: GET reads them and
// PUT replaces all of them.
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
