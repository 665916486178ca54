package gateway

import (
	"net/http"
	"sort"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// GatewayList tells a caller which entry VMs to use and for how long to keep
// the answer.
type GatewayList struct {
	Gateways       []GatewayEntry `json:"gateways"`
	LifetimeMillis int64          `json:"lifetime_ms"`
	// KeyToken begins the Idempotency-Key of calls that may not be repeated.
	KeyToken               string `json:"key_token"`
	KeyTokenLifetimeMillis int64  `json:"key_token_lifetime_ms"`
}

// GatewayEntry is one entry VM. Callers choose by weight.
type GatewayEntry struct {
	ID            ident.DaemonID      `json:"id"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Weight        int                 `json:"weight"`
}

// Weights of a gateway in the caller's own failure domain and elsewhere, and
// of one that has been silent.
const (
	weightNear    = 100
	weightFar     = 10
	weightSuspect = 1
)

func (g *Gateway) listGateways(c *echo.Context) error {
	near := ident.FailureDomain(c.QueryParam("failure_domain"))
	if near == "" {
		near = g.Directory.Self().FailureDomain
	}
	token, lifetime := g.Actions.Token()
	return c.JSON(http.StatusOK, GatewayList{
		Gateways:               entries(g.Directory.Daemons(), near),
		LifetimeMillis:         g.Limits.GatewaysLifetime.Milliseconds(),
		KeyToken:               token,
		KeyTokenLifetimeMillis: lifetime.Milliseconds(),
	})
}

func entries(daemons []view.Daemon, near ident.FailureDomain) []GatewayEntry {
	out := []GatewayEntry{}
	for _, d := range daemons {
		if d.State == view.Leaving || d.State == view.Gone {
			continue
		}
		out = append(out, GatewayEntry{ID: d.ID, Address: d.CallerAddress, FailureDomain: d.FailureDomain, Weight: weight(d, near)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Weight > out[j].Weight })
	return out
}

func weight(d view.Daemon, near ident.FailureDomain) int {
	if d.State == view.Suspect {
		return weightSuspect
	}
	if d.FailureDomain == near {
		return weightNear
	}
	return weightFar
}
