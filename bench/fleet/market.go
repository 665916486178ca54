package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/state/ident"
)

// The generator's market: prices an hour, and times.
const (
	onDemandPrice  = 3.0
	spotBase       = 1.0
	spotLow        = 0.5
	spotHigh       = 2.5
	reversion      = 0.01
	volatility     = 0.03
	startTime      = 90 * time.Second
	noticeTime     = 30 * time.Second
	waveEvery      = 4 * time.Hour
	failureEvery   = 400 * time.Hour
	refusedAtLeast = 5 * time.Minute
	refusedSpread  = 15 * time.Minute
	spillShare     = 0.4
	listLag        = 10 * time.Second
)

var domains = []ident.FailureDomain{"lima-norte", "lima-sur", "lima-este", "lima-callao"}

type machine struct {
	id      string
	pool    fleet.Pool
	spot    bool
	started time.Duration
	ends    time.Duration
	leaving bool
}

// market is a seeded generator of prices, reclaim waves and refused starts; it
// knows nothing of the arms, so all of them meet the same.
type market struct {
	rng     *rand.Rand
	prices  map[fleet.Pool]float64
	refused map[fleet.Pool]time.Duration
	vms     []*machine
	next    int
	spent   float64
}

func newMarket(seed uint64) *market {
	m := &market{
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		prices:  map[fleet.Pool]float64{},
		refused: map[fleet.Pool]time.Duration{},
	}
	for _, d := range domains {
		m.prices[spot(d)] = spotBase * (0.8 + 0.4*m.rng.Float64())
		m.prices[onDemand(d)] = onDemandPrice
	}
	return m
}

func spot(d ident.FailureDomain) fleet.Pool {
	return fleet.Pool{FailureDomain: d, Class: "spot"}
}

func onDemand(d ident.FailureDomain) fleet.Pool {
	return fleet.Pool{FailureDomain: d, Class: "on-demand"}
}

func (m *market) offers() []fleet.Offer {
	var out []fleet.Offer
	for _, d := range domains {
		out = append(out,
			fleet.Offer{Pool: spot(d), Reclaimable: true, PricePerHour: m.prices[spot(d)]},
			fleet.Offer{Pool: onDemand(d), PricePerHour: m.prices[onDemand(d)]})
	}
	return out
}

// wave is a reclaim of one failure domain's spot VMs.
type wave struct {
	domain ident.FailureDomain
	count  int
}

// advance moves the market by one step. The draws from rng are the same number
// whatever the fleet is, so that every arm sees the same waves.
func (m *market) advance(now, step time.Duration) []wave {
	var waves []wave
	for _, d := range domains {
		m.movePrice(spot(d))
		hit := m.rng.Float64() < float64(step)/float64(waveEvery)
		length := refusedAtLeast + time.Duration(m.rng.Float64()*float64(refusedSpread))
		spills := m.rng.Float64()
		if hit {
			m.refuse(now, d, length, spills)
			waves = append(waves, wave{domain: d, count: m.reclaim(now, d)})
		}
	}
	m.fail(step)
	m.end(now, step)
	return waves
}

func (m *market) movePrice(p fleet.Pool) {
	price := m.prices[p]
	price += reversion*(spotBase-price) + volatility*m.rng.NormFloat64()*price/10
	m.prices[p] = min(max(price, spotLow), spotHigh)
}

func (m *market) refuse(now time.Duration, d ident.FailureDomain, length time.Duration, spills float64) {
	m.refused[spot(d)] = now + length
	for _, other := range domains {
		if spills < spillShare {
			m.refused[spot(other)] = max(m.refused[spot(other)], now+length/2)
		}
	}
}

func (m *market) reclaim(now time.Duration, d ident.FailureDomain) int {
	n := 0
	for _, v := range m.vms {
		if v.spot && v.pool.FailureDomain == d && !v.leaving {
			v.leaving = true
			v.ends = now + noticeTime
			n++
		}
	}
	return n
}

// fail ends single VMs without notice.
func (m *market) fail(step time.Duration) {
	draw := m.rng.Float64()
	if draw >= float64(step)/float64(failureEvery)*float64(len(m.vms)) || len(m.vms) == 0 {
		return
	}
	victim := m.vms[int(draw*1e9)%len(m.vms)]
	victim.leaving = true
	victim.ends = 0
}

func (m *market) end(now, step time.Duration) {
	kept := m.vms[:0]
	for _, v := range m.vms {
		m.spent += m.prices[v.pool] * step.Hours()
		if v.leaving && now >= v.ends {
			continue
		}
		kept = append(kept, v)
	}
	m.vms = kept
}

func (m *market) start(now time.Duration, p fleet.Pool) bool {
	if now < m.refused[p] {
		return false
	}
	m.next++
	m.vms = append(m.vms, &machine{id: fmt.Sprintf("vm%d", m.next), pool: p, spot: p.Class == "spot", started: now})
	return true
}

func (m *market) stop(now time.Duration, id string) {
	for _, v := range m.vms {
		if v.id == id && !v.leaving {
			v.leaving = true
			v.ends = now + noticeTime
		}
	}
}

// list is what the planner sees.
func (m *market) list(now time.Duration) []fleet.VM {
	out := make([]fleet.VM, 0, len(m.vms))
	for _, v := range m.vms {
		out = append(out, fleet.VM{
			ID: v.id, Pool: v.pool, Leaving: v.leaving,
			Starting: now < v.started+startTime+listLag,
		})
	}
	return out
}

// serving counts the VMs that answer requests, in all and per failure domain.
// A leaving one serves until it ends.
func (m *market) serving(now time.Duration) (int, int) {
	total, most := 0, 0
	each := map[ident.FailureDomain]int{}
	for _, v := range m.vms {
		if now < v.started+startTime {
			continue
		}
		total++
		each[v.pool.FailureDomain]++
		most = max(most, each[v.pool.FailureDomain])
	}
	return total, most
}
