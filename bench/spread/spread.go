// Package spread measures the ways to spread an accepted configuration, with 8
// to 1,800 members, on the machines of coordination/spread and in virtual time.
package spread

import (
	"context"
	"fmt"
	"math"
	"time"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/coordination/spread"
)

// Experiment is the measurement named "spread".
type Experiment struct {
	// Sizes are the numbers of members, ascending; nil is DefaultSizes.
	Sizes []int
}

var _ bench.Experiment = Experiment{}

// DefaultSizes reach from a small fleet to the target.
func DefaultSizes() []int { return []int{8, 64, 512, 1800} }

// costlyFaulty is the largest size at which a costly arm runs with faults.
const costlyFaulty = 512

// antiEntropyFanout makes anti-entropy cost what the policy costs.
const antiEntropyFanout = 2

// maker makes one member's machine.
type maker func(self string, all []string, seed uint64) spread.Strategy

type arm struct {
	name string
	make maker
	// costly arms send so much that a run is long: they run one seed, and with
	// faults only up to costlyFaulty members.
	costly bool
}

func arms() []arm {
	return []arm{
		{name: "policy", make: func(self string, _ []string, _ uint64) spread.Strategy {
			return spread.NewNeighbours(self)
		}},
		{name: "flat", costly: true, make: func(string, []string, uint64) spread.Strategy {
			return spread.NewFlat()
		}},
		{name: "anti_entropy", make: func(_ string, _ []string, seed uint64) spread.Strategy {
			return spread.NewAntiEntropy(antiEntropyFanout, seed)
		}},
		{name: "tree", make: func(self string, all []string, _ uint64) spread.Strategy {
			return spread.NewVCubeTree(self, all)
		}},
	}
}

// faulty is the mix of the runs whose figures end in "_faults".
var faulty = faults{crashed: 0.03, paused: 0.03, falselySuspected: 0.03}

// Name is "spread".
func (Experiment) Name() string { return "spread" }

// Synopsis is one line for the command's help.
func (Experiment) Synopsis() string {
	return "spread of a configuration to 8 to 1,800 daemons: time to the last, bytes, messages"
}

// Run measures every arm at every size, without and with faults. The figures of
// the largest size have no size in their names.
func (e Experiment) Run(ctx context.Context, o bench.Options) (bench.Report, error) {
	sizes := e.Sizes
	if sizes == nil {
		sizes = DefaultSizes()
	}
	report := bench.Report{Experiment: e.Name(), Seeds: o.Seeds, Notes: notes()}
	for _, a := range arms() {
		if !o.Wants(a.name) {
			continue
		}
		figures := map[string]float64{"members": float64(sizes[len(sizes)-1])}
		for i, n := range sizes {
			suffix := fmt.Sprintf("_%d", n)
			if i == len(sizes)-1 {
				suffix = ""
			}
			fmt.Fprintf(o.Progress, "spread: %s with %d members\n", a.name, n)
			if err := a.measure(ctx, o.Seeds, n, suffix, figures); err != nil {
				return bench.Report{}, err
			}
		}
		report.Arms = append(report.Arms, bench.Arm{Name: a.name, Figures: figures})
	}
	return report, nil
}

func notes() []string {
	return []string{
		"seconds_to_last: from publishing at one member to the last that has not crashed; the worst of the seeds. Missing where some member was never reached.",
		"seconds_to_last_running: the same without the members that were paused.",
		"bytes_per_second_per_member: sent and received, headers included, mean over members and time, with one change in the run.",
		"messages: all that were sent from publishing until the last member was reached, heartbeats included.",
		fmt.Sprintf("_faults: %.0f%% crash and %.0f%% pause for %s when the change is published, %.0f%% are suspected without cause throughout.",
			100*faulty.crashed, 100*faulty.paused, pauseLength, 100*faulty.falselySuspected),
		fmt.Sprintf("_cut: the regions lose each other before the change and until %s after it; the time counts from the change.", cutLength),
		"never_reached counts members; connections is the mean number of distinct members that one talked to.",
		"Links in three regions: 1 ms one way within, 40 ms between, up to half more. The flat arm runs one seed, and with faults up to 512 members.",
	}
}

func (a arm) measure(ctx context.Context, seeds []uint64, n int, suffix string, figures map[string]float64) error {
	if a.costly {
		seeds = seeds[:min(1, len(seeds))]
	}
	for _, variant := range []struct {
		suffix string
		faults faults
	}{{"", faults{}}, {"_faults", faulty}, {"_cut", faults{cut: true}}} {
		if a.costly && variant.suffix != "" && n > costlyFaulty {
			continue
		}
		total := result{}
		for _, seed := range seeds {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("spread with %d members: %w", n, err)
			}
			s := newSimulation(n, seed, variant.faults, a.make)
			s.run()
			total.add(s.result())
		}
		total.write(figures, suffix+variant.suffix, len(seeds))
	}
	return nil
}

// result is what one run, or several, came to.
type result struct {
	toLast         time.Duration
	toLastRunning  time.Duration
	bytesPerSecond float64
	messages       float64
	connections    float64
	neverReached   int
}

func (s *simulation) result() result {
	r := result{toLast: s.last - s.publish, toLastRunning: s.lastRunning - s.publish, messages: float64(s.messages), neverReached: s.waiting}
	bytes, partners := int64(0), 0
	for _, m := range s.members {
		bytes += m.bytes
		partners += len(m.partners)
	}
	members := float64(len(s.members))
	r.bytesPerSecond = float64(bytes) / members / s.now.Seconds()
	r.connections = float64(partners) / members
	return r
}

func (r *result) add(other result) {
	r.toLast = max(r.toLast, other.toLast)
	r.toLastRunning = max(r.toLastRunning, other.toLastRunning)
	r.bytesPerSecond += other.bytesPerSecond
	r.messages += other.messages
	r.connections += other.connections
	r.neverReached += other.neverReached
}

// milliseconds rounds to them and returns seconds.
func milliseconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }

func (r result) write(figures map[string]float64, suffix string, runs int) {
	if runs == 0 {
		return
	}
	if r.neverReached == 0 {
		figures["seconds_to_last"+suffix] = milliseconds(r.toLast)
		figures["seconds_to_last_running"+suffix] = milliseconds(r.toLastRunning)
	}
	figures["bytes_per_second_per_member"+suffix] = math.Round(r.bytesPerSecond / float64(runs))
	figures["messages"+suffix] = math.Round(r.messages / float64(runs))
	figures["connections"+suffix] = math.Round(r.connections / float64(runs))
	figures["never_reached"+suffix] = float64(r.neverReached)
}
