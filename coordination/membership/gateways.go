package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// GatewayTTL is how long a caller may keep the answer. With the time that a
	// notice takes to spread it bounds the last new request on a leaving VM.
	GatewayTTL = 3 * time.Second
	// MaxGateways bounds the answer.
	MaxGateways = 16

	nearWeight = 100
	farWeight  = 10
)

// Gateway is one entry VM that a caller may use.
type Gateway struct {
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	// Weight is the share of new connections relative to the others.
	Weight int `json:"weight"`
}

// Gateways answers which entry VMs a caller of a failure domain should use: its
// own domain's first, never a leaving one, suspects only if there is no other.
// The seed draws a different choice for each caller where there are many.
func Gateways(daemons []view.Daemon, domain ident.FailureDomain, seed uint64) []Gateway {
	chosen := withState(daemons, view.Live)
	if len(chosen) == 0 {
		chosen = withState(daemons, view.Suspect)
	}
	random := rand.New(rand.NewPCG(seed, seed))
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	sort.SliceStable(chosen, func(i, j int) bool {
		return chosen[i].FailureDomain == domain && chosen[j].FailureDomain != domain
	})
	chosen = reserveFar(chosen, domain)
	gateways := make([]Gateway, 0, len(chosen))
	for _, d := range chosen {
		weight := farWeight
		if d.FailureDomain == domain {
			weight = nearWeight
		}
		gateways = append(gateways, Gateway{d.CallerAddress, d.FailureDomain, weight})
	}
	return gateways
}

// reserveFar bounds the answer but keeps a quarter for other failure domains,
// so that the loss of the caller's own leaves it with an address.
func reserveFar(sorted []view.Daemon, domain ident.FailureDomain) []view.Daemon {
	if len(sorted) <= MaxGateways {
		return sorted
	}
	near := sort.Search(len(sorted), func(i int) bool { return sorted[i].FailureDomain != domain })
	far := min(len(sorted)-near, MaxGateways/4)
	near = min(near, MaxGateways-far)
	kept := append([]view.Daemon{}, sorted[:near]...)
	rest := sort.Search(len(sorted), func(i int) bool { return sorted[i].FailureDomain != domain })
	return append(kept, sorted[rest:min(len(sorted), rest+MaxGateways-near)]...)
}

func withState(daemons []view.Daemon, state view.State) []view.Daemon {
	var chosen []view.Daemon
	for _, d := range daemons {
		if d.State == state && d.CallerAddress != "" {
			chosen = append(chosen, d)
		}
	}
	return chosen
}
