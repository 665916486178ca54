package gateway

import (
	"math/rand/v2"
	"net/http"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/state/ident"
)

// GatewayList is the answer to /v1/gateways: the gateways to use and how long the answer is valid.
type GatewayList struct {
	Gateways       []GatewayEntry `json:"gateways"`
	LifetimeMillis int64          `json:"lifetime_ms"`
	// KeyToken is a prefix that the gateway hands out. In calls that may run at most once, the caller's
	// Idempotency-Key header must begin with it.
	KeyToken string `json:"key_token"`
	// KeyTokenLifetimeMillis is how long, counted from this answer, keys with the prefix are valid.
	KeyTokenLifetimeMillis int64 `json:"key_token_lifetime_ms"`
}

// GatewayEntry is one gateway. Callers choose among the gateways in proportion to Weight.
type GatewayEntry struct {
	ID            ident.DaemonID      `json:"id"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Weight        int                 `json:"weight"`
}

func (g *Gateway) listGateways(c *echo.Context) error {
	preferredDomain := ident.FailureDomain(c.QueryParam("failure_domain"))
	if preferredDomain == "" {
		preferredDomain = g.Directory.Self().FailureDomain
	}
	token, tokenLifetime := g.Actions.Token()
	return c.JSON(http.StatusOK, GatewayList{
		Gateways:               gatewayEntries(membership.Gateways(g.Directory.Daemons(), preferredDomain, rand.Uint64())),
		LifetimeMillis:         g.Limits.GatewayListTTL.Milliseconds(),
		KeyToken:               token,
		KeyTokenLifetimeMillis: tokenLifetime.Milliseconds(),
	})
}

func gatewayEntries(gateways []membership.Gateway) []GatewayEntry {
	out := make([]GatewayEntry, 0, len(gateways))
	for _, g := range gateways {
		out = append(out, GatewayEntry{ID: g.ID, Address: g.Address, FailureDomain: g.FailureDomain, Weight: g.Weight})
	}
	return out
}
