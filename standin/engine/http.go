package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/standin/jsonhttp"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Admin paths of the stand-in.
const (
	// PathFaults takes GET to read the injected faults and PUT to replace
	// them.
	PathFaults = "/faults"
	// PathNotice takes POST with a NoticeRequest.
	PathNotice = "/faults/notice"
	// PathDie takes POST and terminates the engine at once.
	PathDie = "/faults/die"
	// PathCounters takes GET and returns Counters.
	PathCounters = "/counters"
)

const (
	maxBodyBytes      = 16 << 20
	ndjsonContentType = "application/x-ndjson"
)

// NoticeRequest is the body of a request to PathNotice.
type NoticeRequest struct {
	// RemainingMillis is the time until the VM is reclaimed.
	RemainingMillis int64 `json:"left_ms"`
}

// Handler serves the engine's HTTP interface and the admin paths.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST "+engineapi.PathGenerate, e.serveGenerate)
	api.HandleFunc("GET "+engineapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, e.Load())
	})
	api.HandleFunc("GET "+engineapi.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
		limit, _ := strconv.Atoi(r.FormValue("limit"))
		jsonhttp.Write(w, http.StatusOK, e.cacheEvents(from, limit))
	})
	api.HandleFunc("GET "+engineapi.PathExported, e.serveExported)
	handlePost(api, engineapi.PathCancel, func(_ context.Context, r engineapi.CancelRequest) (jsonhttp.Empty, error) {
		if !e.Cancel(r.AttemptID) {
			return jsonhttp.Empty{}, &UnknownAttemptError{AttemptID: r.AttemptID}
		}
		return jsonhttp.Empty{}, nil
	})
	handlePost(api, engineapi.PathExport, func(_ context.Context, r engineapi.ExportRequest) (engineapi.ExportResponse, error) {
		return e.export(r.AttemptID)
	})
	handlePost(api, engineapi.PathImport, e.importFromSource)
	handlePost(api, engineapi.PathOrder, func(_ context.Context, o engineapi.Order) (jsonhttp.Empty, error) {
		return jsonhttp.Empty{}, e.Order(o)
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.applyConnectionFaults(api))
	e.handleAdmin(mux)
	return mux
}

func (e *Engine) handleAdmin(mux *http.ServeMux) {
	jsonhttp.HandleFaults(mux, PathFaults, e.Faults, e.SetFaults)
	mux.HandleFunc("POST "+PathNotice, func(w http.ResponseWriter, r *http.Request) {
		var notice NoticeRequest
		if !jsonhttp.Read(w, r, maxBodyBytes, &notice) {
			return
		}
		e.Notice(time.Duration(notice.RemainingMillis) * time.Millisecond)
		jsonhttp.Write(w, http.StatusOK, jsonhttp.Empty{})
	})
	mux.HandleFunc("POST "+PathDie, func(w http.ResponseWriter, _ *http.Request) {
		e.Die()
		jsonhttp.Write(w, http.StatusOK, jsonhttp.Empty{})
	})
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, e.Counters())
	})
}

// applyConnectionFaults aborts connections to a terminated engine and, while
// Faults.Hang is set, leaves requests without a response.
func (e *Engine) applyConnectionFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDead() {
			panic(http.ErrAbortHandler)
		}
		if e.Faults().Hang {
			// net/http detects that a caller has disconnected only after the
			// request body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			e.hang(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}

// hang waits until the caller disconnects or the engine terminates, and then
// aborts the connection.
func (e *Engine) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.died:
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request engineapi.GenerateRequest
	if !readBody(w, r, &request) {
		return
	}
	s, err := e.submit(request)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", ndjsonContentType)
	w.WriteHeader(http.StatusOK)
	writer := &lineWriter{
		engine: e,
		stream: s,
		enc:    json.NewEncoder(w),
		flush:  http.NewResponseController(w).Flush,
		ctx:    r.Context(),
		last:   engineapi.GenerateEvent{RequestID: request.RequestID, AttemptID: request.AttemptID, Offset: len(request.Emitted)},
	}
	writer.run()
}

// lineWriter writes one response stream and applies the stream faults.
type lineWriter struct {
	engine    *Engine
	stream    *stream
	enc       *json.Encoder
	flush     func() error
	ctx       context.Context
	last      engineapi.GenerateEvent
	written   int
	duplicate bool
	ended     bool
}

func (w *lineWriter) run() {
	heartbeat := time.NewTicker(DefaultHeartbeat)
	defer heartbeat.Stop()
	for {
		for _, line := range w.takeLines() {
			w.line(line)
			if w.ended {
				return
			}
		}
		if err := w.flush(); err != nil {
			w.engine.abandon(w.stream)
			return
		}
		select {
		case <-w.stream.wake:
		case <-heartbeat.C:
			w.heartbeat()
		case <-w.ctx.Done():
			w.engine.abandon(w.stream)
			return
		case <-w.engine.died:
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *lineWriter) takeLines() []engineapi.GenerateEvent {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	lines := w.stream.lines
	w.stream.lines = nil
	return lines
}

func (w *lineWriter) heartbeat() {
	if w.engine.Faults().Hang {
		w.engine.hang(w.ctx)
	}
	beat := w.last
	w.write(engineapi.GenerateEvent{RequestID: beat.RequestID, AttemptID: beat.AttemptID, Offset: beat.Offset, Heartbeat: true})
}

func (w *lineWriter) line(line engineapi.GenerateEvent) {
	if w.applyFault(w.engine.takeStreamFault(w.written)) {
		return
	}
	w.write(line)
	if w.duplicate {
		w.write(line)
	}
	w.last = line
	w.ended = line.Done
	if line.Token == "" {
		return
	}
	w.written++
	w.engine.countLateLine(w.stream)
}

// applyFault applies a stream fault and reports whether the current line must
// be skipped.
func (w *lineWriter) applyFault(fault StreamFault) bool {
	switch fault {
	case StreamStall:
		_ = w.flush()
		w.engine.hang(w.ctx)
	case StreamTruncate:
		w.engine.abandon(w.stream)
		w.ended = true
		return true
	case StreamBreak:
		_ = w.flush()
		w.engine.abandon(w.stream)
		panic(http.ErrAbortHandler)
	case StreamDuplicate:
		w.duplicate = true
	case StreamCross:
		w.write(w.engine.lineOfOtherAttempt(w.stream))
	case StreamGap:
		w.written++
		return true
	}
	return false
}

// write ignores errors of the encoder: the next flush reports a failed write.
func (w *lineWriter) write(line engineapi.GenerateEvent) { _ = w.enc.Encode(line) }

// countLateLine counts a token line written after a cancellation. After the
// last one it cancels the attempt in the core.
func (e *Engine) countLateLine(s *stream) {
	defer e.wakeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.lateLines == notCancelled {
		return
	}
	s.lateLines--
	if s.lateLines <= 0 && e.streams[s.attemptID] == s {
		e.core.Cancel(time.Now(), s.attemptID)
	}
}

func (e *Engine) serveExported(w http.ResponseWriter, r *http.Request) {
	exported, err := e.transfer(r.Context(), r.FormValue("handle"))
	if injected := (*InjectedError)(nil); errors.As(err, &injected) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, exported)
}

// importFromSource downloads an exported cache from another engine and
// imports it.
func (e *Engine) importFromSource(ctx context.Context, r engineapi.ImportRequest) (engineapi.ImportResponse, error) {
	exported, err := e.download(ctx, r)
	if err != nil {
		return engineapi.ImportResponse{}, &TransferError{Source: r.Source, Err: err}
	}
	return e.importCache(exported), nil
}

func (e *Engine) download(ctx context.Context, r engineapi.ImportRequest) (ExportedCache, error) {
	base := r.Source
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+engineapi.PathExported, nil)
	if err != nil {
		return ExportedCache{}, err
	}
	query := request.URL.Query()
	query.Set("handle", r.Handle)
	request.URL.RawQuery = query.Encode()
	response, err := e.client.Do(request)
	if err != nil {
		return ExportedCache{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ExportedCache{}, &UnknownHandleError{Handle: r.Handle}
	}
	var exported ExportedCache
	err = json.NewDecoder(response.Body).Decode(&exported)
	return exported, err
}

func handlePost[Request, Response any](mux *http.ServeMux, path string, call func(context.Context, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if !readBody(w, r, &request) {
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

func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		jsonhttp.Write(w, http.StatusBadRequest, engineapi.ErrorBody{Error: err.Error(), Code: engineapi.CodeMalformed})
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, err error) {
	status, body := errorBody(err)
	body.Error = err.Error()
	jsonhttp.Write(w, status, body)
}

func errorBody(err error) (int, engineapi.ErrorBody) {
	var stale *StaleFencingError
	if errors.As(err, &stale) {
		return http.StatusConflict, engineapi.ErrorBody{Code: engineapi.CodeStaleFencing, Fencing: stale.Seen}
	}
	for _, response := range errorResponses {
		if response.matches(err) {
			return response.status, engineapi.ErrorBody{Code: response.code}
		}
	}
	return http.StatusServiceUnavailable, engineapi.ErrorBody{Code: engineapi.CodeUnavailable}
}

type errorResponse struct {
	matches func(error) bool
	status  int
	code    engineapi.Code
}

func matches[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

var errorResponses = []errorResponse{
	{matches[*NotLoadedError], http.StatusNotFound, engineapi.CodeNotLoaded},
	{matches[*LeavingError], http.StatusServiceUnavailable, engineapi.CodeLeaving},
	{matches[*QueueFullError], http.StatusTooManyRequests, engineapi.CodeQueueFull},
	{matches[*TooLongError], http.StatusRequestEntityTooLarge, engineapi.CodeTooLong},
	{matches[*DuplicateAttemptError], http.StatusConflict, engineapi.CodeDuplicateAttempt},
	{matches[*UnknownAttemptError], http.StatusNotFound, engineapi.CodeUnknownAttempt},
	{matches[*TransferError], http.StatusBadGateway, engineapi.CodeTransferFailed},
	{matches[*UnknownHandleError], http.StatusNotFound, engineapi.CodeUnknownHandle},
	{matches[*UnknownOrderError], http.StatusBadRequest, engineapi.CodeMalformed},
}
