package membership

import (
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// GatewayTTL is how long a caller may keep the returned gateways. Together with the
	// time that a notice takes to spread, it bounds how late a new request can reach a
	// leaving VM.
	GatewayTTL = 3 * time.Second
	// MaxGateways is the maximum number of gateways returned.
	MaxGateways = 16

	sameDomainWeight  = 100
	otherDomainWeight = 10
	suspectWeight     = 1
)

// Gateway is the daemon of an entry VM, to which a caller may connect.
type Gateway struct {
	ID            ident.DaemonID
	Address       string
	FailureDomain ident.FailureDomain
	// Weight is the share of new connections that the gateway should get, relative to the
	// others.
	Weight int
}

// Gateways returns the entry VMs that a caller in a failure domain should use: those of its
// own domain first, never a leaving one, and suspect ones last and only if live ones leave
// room. If there are more than MaxGateways, the seed selects a different sample for each
// caller.
func Gateways(daemons []view.Daemon, domain ident.FailureDomain, seed uint64) []Gateway {
	sameDomain, otherDomains := splitByDomain(daemons, domain, view.Live)
	// A quarter of the list is reserved for other failure domains, so that a caller still
	// has addresses if its own domain fails.
	sameDomainCount := min(len(sameDomain), MaxGateways-min(len(otherDomains), MaxGateways/4))
	random := rand.New(rand.NewPCG(seed, seed))
	gateways := make([]Gateway, 0, MaxGateways)
	for _, i := range sample(random, sameDomain, sameDomainCount) {
		gateways = append(gateways, newGateway(daemons[i], sameDomainWeight))
	}
	for _, i := range sample(random, otherDomains, min(len(otherDomains), MaxGateways-sameDomainCount)) {
		gateways = append(gateways, newGateway(daemons[i], otherDomainWeight))
	}
	sameDomain, otherDomains = splitByDomain(daemons, domain, view.Suspect)
	suspects := append(sameDomain, otherDomains...)
	for _, i := range sample(random, suspects, min(len(suspects), MaxGateways-len(gateways))) {
		gateways = append(gateways, newGateway(daemons[i], suspectWeight))
	}
	return gateways
}

func newGateway(d view.Daemon, weight int) Gateway {
	return Gateway{ID: d.ID, Address: d.CallerAddress, FailureDomain: d.FailureDomain, Weight: weight}
}

// splitByDomain returns the indexes of the daemons that are in a state and have a caller
// address, separately for those inside and outside of a failure domain.
func splitByDomain(daemons []view.Daemon, domain ident.FailureDomain, state view.State) (sameDomain, otherDomains []int) {
	for i := range daemons {
		d := &daemons[i]
		switch {
		case d.State != state || d.CallerAddress == "":
		case d.FailureDomain == domain:
			sameDomain = append(sameDomain, i)
		default:
			otherDomains = append(otherDomains, i)
		}
	}
	return sameDomain, otherDomains
}

// sample returns n random elements of all in random order. It reorders all.
func sample(random *rand.Rand, all []int, n int) []int {
	for i := range n {
		j := i + random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}
