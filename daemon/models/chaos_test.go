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

var chaosSeeds = flag.Int("chaos", 1, "seeds of TestRandomFaults")

// chaos brings about faults at random, one gateway at a time, so that there is
// time for a renewal between two of them.
type chaos struct {
	t        *testing.T
	c        *cluster
	rng      *rand.Rand
	gateways []*gateway
	requests []call.ModelRequest
	started  int
}

func (x *chaos) gateway() *gateway { return x.gateways[x.rng.IntN(len(x.gateways))] }

// liveRunners lists the indexes of the engines that have had no notice.
func (x *chaos) liveRunners() []int {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	var live []int
	for i, r := range x.c.runners {
		if r.State == view.Live {
			live = append(live, i)
		}
	}
	return live
}

func (x *chaos) addGateway() {
	x.gateways = append(x.gateways, x.c.start(x.started))
	x.started++
}

// addRunner starts a replacement.
func (x *chaos) addRunner() {
	i := len(x.c.engines)
	id := ident.RunnerID(fmt.Sprintf("runner-%d", i))
	client := x.c.Client()
	e := engine.New(engine.DefaultConfig(string(id), model, "1"), engine.WithLedger(x.c.ledger), engine.WithClient(client))
	x.c.stops = append(x.c.stops, e.Close)
	x.c.serve(address(i), e.Handler(), client)
	x.c.engines = append(x.c.engines, e)
	x.c.change(func() {
		x.c.runners = append(x.c.runners, view.Runner{
			ID: id, Address: address(i), Service: model, FailureDomain: domain(i), State: view.Live,
		})
	})
}

func (x *chaos) submit() {
	class := []string{"bulletin", "chat"}[x.rng.IntN(2)]
	g := x.gateway()
	r := g.request(class, 50+x.rng.IntN(800))
	if err := g.Submit(x.t.Context(), r); err != nil {
		x.t.Errorf("submit: %v", err)
		return
	}
	if class == "bulletin" {
		x.requests = append(x.requests, r)
	}
}

func (x *chaos) removeGateway(drain bool) {
	i := x.rng.IntN(len(x.gateways))
	g := x.gateways[i]
	x.gateways = append(x.gateways[:i:i], x.gateways[i+1:]...)
	if drain {
		x.c.change(func() {
			for k := range x.c.daemons {
				if x.c.daemons[k].Incarnation == g.self {
					x.c.daemons[k].State = view.Leaving
				}
			}
		})
		ctx, cancel := context.WithTimeout(x.t.Context(), 10*time.Second)
		defer cancel()
		if err := g.Drain(ctx); err != nil {
			x.t.Errorf("drain: %v", err)
		}
	}
	x.c.kill(g)
	time.Sleep(time.Duration(x.rng.IntN(3000)) * time.Millisecond)
	x.c.gone(g)
	x.addGateway()
	time.Sleep(10 * time.Second)
}

func (x *chaos) fault() {
	live := x.liveRunners()
	runner := live[x.rng.IntN(len(live))]
	switch x.rng.IntN(8) {
	case 0:
		x.c.Silence(address(runner))
	case 1:
		x.c.Silence(x.gateway().address)
	case 2:
		x.c.Break(x.gateway().address)
	case 3:
		faults := []engine.StreamFault{
			engine.StreamDuplicate, engine.StreamCross, engine.StreamGap,
			engine.StreamTruncate, engine.StreamBreak, engine.StreamStall,
		}
		x.c.engines[runner].SetFaults(engine.Faults{
			Stream: faults[x.rng.IntN(len(faults))], Streams: 2, AfterTokens: 5,
			LateLines: x.rng.IntN(5), FailExports: x.rng.IntN(2),
		})
	case 4:
		x.c.notice(time.Duration(3+x.rng.IntN(20))*time.Second, live[:1+x.rng.IntN(len(live))]...)
		x.addRunner()
	case 5:
		x.c.engines[runner].Die()
		x.c.change(func() { x.c.runners[runner].State = view.Gone })
		x.addRunner()
	case 6:
		x.removeGateway(true)
	case 7:
		x.removeGateway(false)
	}
}

// Accepted bulletins would be lost, cut short or mixed up when several things
// go wrong together or twice: connections go silent or break, streams are
// faulty, runners get notice or die, gateways drain or die. Each bulletin is
// read whole at any gateway in the end.
func TestRandomFaults(t *testing.T) {
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			bubble(t, 3, func(t *testing.T, c *cluster) {
				x := &chaos{t: t, c: c, rng: rand.New(rand.NewPCG(uint64(seed), 1))}
				for range 3 {
					x.addGateway()
				}
				for range 12 {
					x.submit()
					x.fault()
					time.Sleep(time.Duration(x.rng.IntN(3000)) * time.Millisecond)
				}
				for _, r := range x.requests {
					readAll(t, x.gateway(), r, 0)
				}
			})
		})
	}
}
