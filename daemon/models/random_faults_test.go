package models_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/state/ident"
)

var chaosSeeds = flag.Int("chaos", 1, "number of random seeds that TestRandomFaults runs")

// faultInjector injects random faults, into at most one gateway at a time, and
// leaves time for a renewal of records between two gateway losses.
type faultInjector struct {
	t        *testing.T
	c        *cluster
	rng      *rand.Rand
	gateways []*gateway
	requests []call.ModelRequest
	started  int
}

func (f *faultInjector) gateway() *gateway { return f.gateways[f.rng.IntN(len(f.gateways))] }

// liveRunners returns the indexes of the runners that have not received a
// reclaim notice.
func (f *faultInjector) liveRunners() []int {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	var live []int
	for i, r := range f.c.runners {
		if r.State == view.Live {
			live = append(live, i)
		}
	}
	return live
}

func (f *faultInjector) addGateway() {
	f.gateways = append(f.gateways, f.c.startGateway(f.started))
	f.started++
}

// startRunner starts a replacement runner and adds it to the directory.
func (f *faultInjector) startRunner() {
	i := len(f.c.engines)
	id := ident.RunnerID(fmt.Sprintf("runner-%d", i))
	client := f.c.Client()
	e := engine.New(engine.DefaultConfig(string(id), model, "1"), engine.WithTokenCounter(f.c.ledger), engine.WithClient(client))
	f.c.stops = append(f.c.stops, e.Close)
	f.c.serve(address(i), e.Handler(), client)
	f.c.engines = append(f.c.engines, e)
	f.c.updateDirectory(func() {
		f.c.runners = append(f.c.runners, view.Runner{
			ID: id, Address: address(i), Service: model, FailureDomain: failureDomain(i), State: view.Live,
		})
	})
}

func (f *faultInjector) submit() {
	class := []string{"bulletin", "chat"}[f.rng.IntN(2)]
	g := f.gateway()
	r := g.request(class, 50+f.rng.IntN(800))
	if err := g.Submit(f.t.Context(), r); err != nil {
		f.t.Errorf("submit: %v", err)
		return
	}
	if class == "bulletin" {
		f.requests = append(f.requests, r)
	}
}

func (f *faultInjector) replaceGateway(drain bool) {
	i := f.rng.IntN(len(f.gateways))
	g := f.gateways[i]
	f.gateways = append(f.gateways[:i:i], f.gateways[i+1:]...)
	if drain {
		f.c.updateDirectory(func() {
			for k := range f.c.daemons {
				if f.c.daemons[k].Incarnation == g.self {
					f.c.daemons[k].State = view.Leaving
				}
			}
		})
		ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
		defer cancel()
		if err := g.Drain(ctx); err != nil {
			f.t.Errorf("drain: %v", err)
		}
	}
	f.c.kill(g)
	time.Sleep(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	f.c.removeFromDirectory(g)
	f.addGateway()
	time.Sleep(10 * time.Second)
}

func (f *faultInjector) injectFault() {
	live := f.liveRunners()
	runner := live[f.rng.IntN(len(live))]
	switch f.rng.IntN(8) {
	case 0:
		f.c.Silence(address(runner))
	case 1:
		f.c.Silence(f.gateway().address)
	case 2:
		f.c.Break(f.gateway().address)
	case 3:
		faults := []engine.StreamFault{
			engine.StreamDuplicate, engine.StreamCross, engine.StreamGap,
			engine.StreamTruncate, engine.StreamBreak, engine.StreamStall,
		}
		f.c.engines[runner].SetFaults(engine.Faults{
			Stream: faults[f.rng.IntN(len(faults))], Streams: 2, AfterTokens: 5,
			LateLines: f.rng.IntN(5), FailExports: f.rng.IntN(2),
		})
	case 4:
		f.c.announceReclaim(time.Duration(3+f.rng.IntN(20))*time.Second, live[:1+f.rng.IntN(len(live))]...)
		f.startRunner()
	case 5:
		f.c.engines[runner].Die()
		f.c.updateDirectory(func() { f.c.runners[runner].State = view.Gone })
		f.startRunner()
	case 6:
		f.replaceGateway(true)
	case 7:
		f.replaceGateway(false)
	}
}

// Guards against lost, truncated or mixed-up answers to accepted bulletins when
// several faults coincide or repeat: connections go silent or break, streams
// are faulty, runners are reclaimed or die, gateways drain or die. In the end
// each bulletin must be readable completely at any gateway.
func TestRandomFaults(t *testing.T) {
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, 3, func(t *testing.T, c *cluster) {
				f := &faultInjector{t: t, c: c, rng: rand.New(rand.NewPCG(uint64(seed), 1))}
				for range 3 {
					f.addGateway()
				}
				for range 12 {
					f.submit()
					f.injectFault()
					time.Sleep(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
				}
				for _, r := range f.requests {
					readAll(t, f.gateway(), r, 0)
				}
			})
		})
	}
}
