package cloudapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"geraniumstack.org/geraniumstack/standin/jsonhttp"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// Admin paths of the stand-ins.
const (
	// PathFaults takes GET to read the injected faults and PUT to replace
	// them.
	PathFaults = "/faults"
	// PathReclaim takes POST with a ReclaimRequest and returns a
	// ReclaimResponse.
	PathReclaim = "/faults/reclaim"
	// PathKill takes POST with a KillRequest.
	PathKill = "/faults/kill"
)

const maxBodyBytes = 1 << 20

// ReclaimRequest gives a reclaim notice to one VM, or to all reclaimable VMs
// of a failure domain.
type ReclaimRequest struct {
	VM              string              `json:"vm,omitempty"`
	FailureDomain   ident.FailureDomain `json:"failure_domain,omitempty"`
	RemainingMillis int64               `json:"left_ms"`
}

// ReclaimResponse lists the VMs that got a reclaim notice.
type ReclaimResponse struct {
	VMs []string `json:"vms"`
}

// KillRequest removes a VM without a reclaim notice.
type KillRequest struct {
	VM string `json:"vm"`
}

// Handler serves the cloud API, the VM list and the admin paths.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cloudapi.PathStart, c.serveStart)
	mux.HandleFunc("POST "+cloudapi.PathStop, c.serveStop)
	mux.HandleFunc("GET "+cloudapi.PathQuotes, func(w http.ResponseWriter, r *http.Request) {
		quotes, err := c.Quotes(r.Context())
		writeResult(w, cloudapi.QuotesResponse{Quotes: quotes}, err)
	})
	mux.HandleFunc("GET "+cloudapi.PathNotices, c.serveNotices)
	mux.HandleFunc("GET "+cloudapi.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := c.List(r.Context())
		writeResult(w, cloudapi.ListResponse{VMs: vms}, err)
	})
	jsonhttp.HandleFaults(mux, PathFaults, c.Faults, c.SetFaults)
	mux.HandleFunc("POST "+PathReclaim, c.serveReclaim)
	mux.HandleFunc("POST "+PathKill, c.serveKill)
	return mux
}

func (c *Cloud) serveStart(w http.ResponseWriter, r *http.Request) {
	var request cloudapi.StartRequest
	if !readBody(w, r, &request) {
		return
	}
	vm, err := c.Start(r.Context(), request)
	writeResult(w, vm, err)
}

func (c *Cloud) serveStop(w http.ResponseWriter, r *http.Request) {
	var request cloudapi.StopRequest
	if !readBody(w, r, &request) {
		return
	}
	writeResult(w, jsonhttp.Empty{}, c.Stop(r.Context(), request.ID, request.Fencing))
}

func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue(cloudapi.ParamAfter), 10, 64)
	if err != nil {
		writeMalformed(w, err)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue(cloudapi.ParamWait), 10, 64)
	if err != nil {
		writeMalformed(w, err)
		return
	}
	notices, err := c.Notices(r.Context(), after, time.Duration(wait)*time.Millisecond)
	writeResult(w, cloudapi.NoticesResponse{Notices: notices}, err)
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var request ReclaimRequest
	if !readBody(w, r, &request) {
		return
	}
	remaining := time.Duration(request.RemainingMillis) * time.Millisecond
	var response ReclaimResponse
	if request.VM != "" && c.Reclaim(request.VM, remaining) {
		response.VMs = append(response.VMs, request.VM)
	}
	if request.FailureDomain != "" {
		response.VMs = append(response.VMs, c.ReclaimDomain(request.FailureDomain, remaining)...)
	}
	writeResult(w, response, nil)
}

func (c *Cloud) serveKill(w http.ResponseWriter, r *http.Request) {
	var request KillRequest
	if !readBody(w, r, &request) {
		return
	}
	if !c.Kill(request.VM) {
		writeResult(w, nil, &cloudapi.NotFoundError{Resource: request.VM})
		return
	}
	writeResult(w, jsonhttp.Empty{}, nil)
}

// Handler serves the weight store and its admin path.
func (w *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cloudapi.PathWeights, func(rw http.ResponseWriter, r *http.Request) {
		weight, err := w.Stat(r.Context(), r.FormValue(cloudapi.ParamName), r.FormValue(cloudapi.ParamVersion))
		writeResult(rw, weight, err)
	})
	jsonhttp.HandleFaults(mux, PathFaults, w.Faults, w.SetFaults)
	return mux
}

func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeMalformed(w, err)
		return false
	}
	return true
}

func writeMalformed(w http.ResponseWriter, err error) {
	jsonhttp.Write(w, http.StatusBadRequest, cloudapi.ErrorBody{Code: cloudapi.CodeMalformed, Message: err.Error()})
}

// writeResult responds with the result or error of a call. For a lost response
// it aborts the connection instead.
func writeResult(w http.ResponseWriter, response any, err error) {
	if err == nil {
		jsonhttp.Write(w, http.StatusOK, response)
		return
	}
	if lost := (*LostAnswerError)(nil); errors.As(err, &lost) {
		panic(http.ErrAbortHandler)
	}
	status, body := errorBody(err)
	jsonhttp.Write(w, status, body)
}

func errorBody(err error) (int, cloudapi.ErrorBody) {
	var (
		refused *cloudapi.StartRefusedError
		absent  *cloudapi.NotFoundError
		limited *cloudapi.RateLimitedError
		stale   *cloudapi.StaleFencingError
	)
	switch {
	case errors.As(err, &refused):
		return http.StatusConflict, cloudapi.ErrorBody{Code: cloudapi.CodeStartRefused, Message: refused.Reason}
	case errors.As(err, &absent):
		return http.StatusNotFound, cloudapi.ErrorBody{Code: cloudapi.CodeNotFound, Message: absent.Resource}
	case errors.As(err, &limited):
		return http.StatusTooManyRequests, cloudapi.ErrorBody{Code: cloudapi.CodeRateLimited, Message: err.Error(), RetryAfterMillis: ceilMillis(limited.RetryAfter)}
	case errors.As(err, &stale):
		return http.StatusConflict, cloudapi.ErrorBody{Code: cloudapi.CodeStaleFencing, Message: err.Error(), Fencing: stale.Seen}
	default:
		return http.StatusServiceUnavailable, cloudapi.ErrorBody{Code: cloudapi.CodeUnavailable, Message: err.Error()}
	}
}

// ceilMillis rounds up, so that a caller that waits for the rounded time does
// not retry too early.
func ceilMillis(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
