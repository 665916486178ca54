package soak_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// zones are the failure domains of a fleet that has two.
var zones = []string{site.DefaultZone, "south"}

// The second domain has as many daemons as the first, and one runner in southRunnerEvery, so that its daemons send
// requests to the other domain.
const southRunnerEvery = 4

// daemonZone returns the failure domain of a daemon by its index, runnerZone that of a runner by its number, which
// counts from 1.
func (f *fleet) daemonZone(i int) string {
	if f.with.domains {
		return zones[i%2]
	}
	return zones[0]
}

func (f *fleet) runnerZone(number int) string {
	if f.with.domains && number%southRunnerEvery == 0 {
		return zones[1]
	}
	return zones[0]
}

// cutDomains treats the links from the daemons of each domain to the runners of the other as drawn.
func cutDomains(rng *rand.Rand) fault {
	l, span := links[rng.IntN(len(links))], durationBetween(rng, leastSilence, 3*time.Second)
	to := [][]string{zones, zones[:1], zones[1:]}[rng.IntN(3)]
	return fault{description: fmt.Sprintf("links from elsewhere to runners in %v %v for %v", to, l, span), apply: func(f *fleet) {
		f.setFarLinks(to, l)
		time.Sleep(span)
		f.setFarLinks(to, linkUp)
	}}
}

// setFarLinks sets the links of runners in some domains to the daemons of other domains.
func (f *fleet) setFarLinks(to []string, l link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, zone := range to {
		f.farLinks[zone] = l
	}
	for _, b := range f.runners {
		if slices.Contains(to, b.zone) {
			b.far.set(l)
		}
	}
}

// addressesSeenFrom replaces the addresses of other domains' runners by those of the proxies between the domains.
func (f *fleet) addressesSeenFrom(zone string) func(string, []byte) []byte {
	return func(_ string, value []byte) []byte {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, b := range f.allRunnersLocked() {
			if b.far != nil && b.zone != zone {
				value = bytes.Replace(value, quoted(b.proxy), quoted(b.far), 1)
			}
		}
		return value
	}
}

func quoted(p *proxy) []byte { return fmt.Appendf(nil, "%q", p.address()) }

// isFar reports whether a daemon reaches a runner by way of the links between the domains.
func (*fleet) isFar(b *proxiedRunner, d *daemon) bool { return b.far != nil && d.Zone != b.zone }

// countCrossings counts the runs of requests that callers sent to a daemon of another domain than the runner's, and
// those among them that met a cut between the domains.
func (f *fleet) countCrossings(runs map[string][]runnerRun) (crossed, cut int) {
	for id, list := range runs {
		a := f.attemptLog.byID[id]
		for _, run := range list {
			if !f.isFar(run.runner, f.daemonAt(a.daemonAddress)) {
				continue
			}
			crossed++
			if run.runner.far.cutOff.overlap(run.Received, a.ended) {
				cut++
			}
		}
	}
	return crossed, cut
}
