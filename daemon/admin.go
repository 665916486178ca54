package daemon

import (
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"

	"geraniumstack.org/geraniumstack/daemon/adminapi"
	"geraniumstack.org/geraniumstack/transport/exposition"
)

// adminHandler returns the handler of the admin listener: health, readiness,
// metrics, profiles and the admin API.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", d.health)
	mux.HandleFunc("GET /readyz", d.ready)
	mux.Handle("GET /metrics", exposition.Handler(d.metrics))
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	mux.Handle(d.adminAPI())
	return mux
}

func (d *Daemon) adminAPI() (string, http.Handler) {
	var credentials []adminapi.Credential
	for _, c := range d.settings.Admin.Credentials {
		credentials = append(credentials, adminapi.Credential{Name: c.Name, KeyHash: c.KeyHash, Role: adminapi.Role(c.Role)})
	}
	return adminapi.NewHandler(adminapi.Config{
		Control: d.control, Store: d.store, Credentials: credentials, Usage: d.listUsage,
	})
}

func (d *Daemon) listUsage() []adminapi.Usage {
	var out []adminapi.Usage
	for workspace, c := range d.usage.Snapshot() {
		refused := map[string]int64{}
		for reason, n := range c.Refused {
			refused[string(reason)] = n
		}
		out = append(out, adminapi.Usage{
			Workspace: string(workspace), Accepted: c.Accepted, Answered: c.Answered,
			GeneratedTokens: c.GeneratedTokens, Refused: refused,
		})
	}
	slices.SortFunc(out, func(a, b adminapi.Usage) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// health serves the liveness probe: it always succeeds while the process can
// answer.
func (d *Daemon) health(w http.ResponseWriter, _ *http.Request) { writeProbeResponse(w, true, "ok") }

// ready serves the readiness probe: it succeeds if a configuration is in force
// and no shutdown has begun.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-d.draining:
		writeProbeResponse(w, false, "draining")
		return
	default:
	}
	if m, _ := d.control.Current(); m == nil {
		writeProbeResponse(w, false, "no configuration in force")
		return
	}
	writeProbeResponse(w, true, "ready")
}

func writeProbeResponse(w http.ResponseWriter, ok bool, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A write error means that the prober has disconnected, so there is nobody
	// to report it to.
	_, _ = w.Write([]byte(text + "\n"))
}
