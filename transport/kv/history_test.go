package kv_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// operation is one call on a key. A write changes the value from one to another, and each value is
// written only once. In a read, to is empty.
type operation struct{ key, from, to string }

// outcome is the result that the caller got.
type outcome struct {
	value   string
	unknown bool
}

// register models a key with compare-and-swap. A write with an unknown outcome that never took
// effect is placed after all other operations, where it has no visible effect.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		current, call, observed := state.(string), input.(operation), output.(outcome)
		after := current
		if call.to != "" && call.from == current {
			after = call.to
		}
		return observed.unknown || observed.value == after, after
	},
}

// history records calls with the order of their starts and ends.
type history struct {
	clock   atomic.Int64
	mu      sync.Mutex
	ops     []porcupine.Operation
	unknown int
}

// record runs a call and adds it to the history. A failed read is dropped: it returned no value and
// changed nothing, so there is nothing to check. A failed write may still take effect at any later
// time, so its end is set to math.MaxInt64.
func (h *history) record(client int, call operation, run func() (string, error)) {
	op := porcupine.Operation{ClientId: client, Input: call, Call: h.clock.Add(1)}
	value, err := run()
	op.Return = h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		if call.to == "" {
			return
		}
		h.unknown++
		op.Return = math.MaxInt64
	}
	op.Output = outcome{value: value, unknown: err != nil}
	h.ops = append(h.ops, op)
}

// compareAndSwap writes value if the key still has the revision of current, the entry that the client
// read last. It returns the key's value after the call: the new value, or the value that another
// client has written in the meantime.
func compareAndSwap(ctx context.Context, c kv.Store, current kv.Entry, value string) (string, error) {
	_, err := c.CompareAndSwap(ctx, current.Key, current.Revision, []byte(value), 0)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return string(conflict.Current.Value), nil
	}
	return value, err
}

func runClient(h *history, c kv.Store, client int, seed uint64) {
	ctx := context.Background()
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	for i := range 40 {
		key := fmt.Sprint("k", random.IntN(2))
		var current kv.Entry
		h.record(client, operation{key: key}, func() (string, error) {
			var err error
			current, err = c.Get(ctx, key)
			return string(current.Value), err
		})
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
		if current.Key == "" {
			continue
		}
		value := fmt.Sprintf("%d.%d", client, i)
		h.record(client, operation{key: key, from: string(current.Value), to: value}, func() (string, error) {
			return compareAndSwap(ctx, c, current, value)
		})
	}
}

// injectFaults switches faults on and off while the clients run.
func injectFaults(s *kvserver.Store, n *pipe.Network, seed uint64) {
	random := rand.New(rand.NewPCG(seed, math.MaxUint64))
	for range 30 {
		time.Sleep(200 * time.Millisecond)
		switch random.IntN(5) {
		case 0:
			s.SetFaults(kvserver.Faults{Outage: true})
		case 1:
			s.SetFaults(kvserver.Faults{LoseAnswers: 3})
		case 2:
			s.SetFaults(kvserver.Faults{DelayMillis: 3000, LateEffects: true})
		case 3:
			n.Silence(address)
		default:
			s.SetFaults(kvserver.Faults{})
		}
	}
	s.SetFaults(kvserver.Faults{})
}

// Clients compete for two keys through outages, slow answers, lost answers and dead connections.
// The results of all calls on a key must be linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	unknown := 0
	for seed := range uint64(8) {
		withStore(t, func(is *is.I, n *pipe.Network, s *kvserver.Store, c kv.Store) {
			h := &history{}
			var all sync.WaitGroup
			all.Go(func() { injectFaults(s, n, seed) })
			for client := range 4 {
				all.Go(func() { runClient(h, c, client, seed) })
			}
			all.Wait()
			time.Sleep(10 * time.Second)
			is.True(porcupine.CheckOperations(register, h.ops))
			unknown += h.unknown
		})
	}
	if unknown == 0 {
		t.Fatal("no write had an unknown outcome: the injected faults had no effect")
	}
}
