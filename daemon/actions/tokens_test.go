package actions_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/coordination/owners"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/actions"
	actionv1 "geraniumstack.org/geraniumstack/gen/geranium/action/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/action/v1/actionv1connect"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/service"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	largeFleetSize, largeFleetOwners   = 40, 8
	mediumFleetSize, mediumFleetOwners = 12, 4
)

func withMediumFleet(t *testing.T, test func(f *fleet)) {
	t.Helper()
	withFleetOfSize(t, mediumFleetSize, mediumFleetOwners, test)
}

func withFleetOfSize(t *testing.T, size, maxOwners int, test func(f *fleet)) {
	t.Helper()
	log := service.NewLog()
	runner := func(name string) http.Handler { return service.New(name, log).Handler() }
	withFleet(t, size, maxOwners, runner, func(f *fleet) {
		f.log = log
		test(f)
	})
}

// tokenAt reads the token that a gateway hands out.
func (f *fleet) tokenAt(gateway int) actionkey.Token {
	f.is.Helper()
	text, lifetime := f.nodes[gateway].Token()
	token, err := actionkey.ParseToken(text)
	f.is.NoErr(err)
	f.is.True(lifetime > 0 && lifetime <= token.Lifetime)
	return token
}

// tokenOwners returns the gateways whose tokens are handed out.
func (f *fleet) tokenOwners() map[ident.Incarnation]bool {
	named := map[ident.Incarnation]bool{}
	for i := range f.nodes {
		named[f.tokenAt(i).Owner] = true
	}
	return named
}

// gatewayWithFetchedToken returns a gateway that issues no tokens, and the one whose it has.
func (f *fleet) gatewayWithFetchedToken() (gateway, owner int) {
	for i := range f.nodes {
		if named := f.tokenAt(i).Owner; named != f.daemons[i].Incarnation {
			return i, f.daemonIndex(named)
		}
	}
	f.is.Fail() // no gateway hands out another's token
	return 0, 0
}

func (f *fleet) daemonIndex(incarnation ident.Incarnation) int {
	for i, d := range f.daemons {
		if d.Incarnation == incarnation {
			return i
		}
	}
	f.is.Fail() // a token names nobody
	return 0
}

func (f *fleet) setState(index int, state view.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[index].State = state
}

// Story: at 1,800 gateways the key-value service refuses most writes, and
// actions fail everywhere. Each gateway had a journal of its own.
func TestWritesAreBoundedByTokenOwnerCount(t *testing.T) {
	withFleetOfSize(t, largeFleetSize, largeFleetOwners, func(f *fleet) {
		f.is.Equal(len(f.tokenOwners()), largeFleetOwners)
		served := f.counterSum("actions.token.served")
		const idle = 20
		time.Sleep(idle * time.Second)
		fetches := float64(f.counterSum("actions.token.served")-served) / idle / (largeFleetSize - largeFleetOwners)
		f.store.ResetCalls()
		start := time.Now()
		const pledges = 20
		var wg sync.WaitGroup
		for i := range f.nodes {
			wg.Go(func() {
				for n := range pledges {
					_, err := f.pledge(i, f.key(i, fmt.Sprintf("%d-%d", i, n)))
					f.is.NoErr(err)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		seconds := time.Since(start).Seconds()
		writes := float64(f.store.Calls().Writes())
		t.Logf("%.0f writes a second at %d gateways; %.2f fetches a second by each guest",
			writes/seconds, largeFleetSize, fetches)
		bounds := journal.DefaultConfig("")
		f.is.True(writes <= largeFleetOwners*(bounds.WritesPerSecond*seconds+bounds.Burst))
		f.is.True(fetches > 0.5 && fetches < 0.8) // every 2 s at least
		f.is.Equal(f.instant.sent.Load(), int64(pledges*largeFleetSize))
	})
}

func (f *fleet) counterSum(name string) int64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.counter(name)
	}
	return sum
}

// Story: callers of a third of the gateways are refused for minutes. The owner
// whose tokens these hand out was reclaimed, and the directory lags behind.
func TestTokenSwitchesAfterOwnerCrash(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		gateway, owner := f.gatewayWithFetchedToken()
		dead := f.daemons[owner].Incarnation
		f.nodes[owner].crash()
		time.Sleep(3 * time.Second)
		f.is.True(!f.tokenOwners()[dead] || f.tokenAt(owner).Owner == dead)
		next := f.tokenAt(gateway).Owner
		f.is.True(next != dead)
		f.is.True(next != f.daemons[gateway].Incarnation)
		_, err := f.pledge(gateway, f.key(gateway, "pledge"))
		f.is.NoErr(err)
	})
}

// Story: as above, but the VM was suspended: its connections are silent instead
// of refused.
func TestTokenSwitchesWhenOwnerStopsResponding(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		gateway, owner := f.gatewayWithFetchedToken()
		silent := f.daemons[owner].Incarnation
		stop := time.Now().Add(3 * time.Second)
		for time.Now().Before(stop) {
			f.network.Silence(f.daemons[owner].PeerAddress)
			time.Sleep(time.Millisecond)
		}
		f.is.True(f.tokenAt(gateway).Owner != silent)
		f.is.True(f.tokenAt(gateway).Owner != f.daemons[gateway].Incarnation)
	})
}

// Story: a gateway that drains tells its callers, which have not noticed, to
// use its token, and refuses every key made from it.
func TestDrainingGatewayHandsOutTokensOfOthers(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		_, owner := f.gatewayWithFetchedToken()
		drained := f.daemons[owner].Incarnation
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.is.NoErr(f.nodes[owner].Drain(ctx))
		time.Sleep(3 * time.Second)
		f.is.True(!f.tokenOwners()[drained])
		_, err := f.pledge(0, f.key(owner, "pledge"))
		f.is.NoErr(err)
	})
}

// Story: a pledge is "owner gone", though its owner runs. The owner had left
// the set of those that issue tokens, since others had joined.
func TestOwnerNoLongerIssuingTokensAnswersItsKeys(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		gateway, owner := f.gatewayWithFetchedToken()
		before, after := f.key(gateway, "before"), f.key(gateway, "after")
		want, err := f.pledge(gateway, before)
		f.is.NoErr(err)
		f.setState(owner, view.Suspect)
		time.Sleep(3 * time.Second)
		f.is.True(!f.tokenOwners()[f.daemons[owner].Incarnation]) // nobody hands its tokens out, itself included

		got, err := f.outcome(gateway, before)
		f.is.NoErr(err)
		f.is.Equal(got, want)
		_, err = f.pledge(gateway, after)
		f.is.NoErr(err)
	})
}

// Story: a gateway that is cut off from all others refuses every action. It
// waits for a token of somebody else.
func TestOwnTokenWhenNoOwnerResponds(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		gateway, _ := f.gatewayWithFetchedToken()
		for i, n := range f.nodes {
			if i != gateway {
				_ = n.server.Close()
			}
		}
		time.Sleep(3 * time.Second)
		f.is.Equal(f.tokenAt(gateway).Owner, f.daemons[gateway].Incarnation)
		_, err := f.pledge(gateway, f.key(gateway, "pledge"))
		f.is.NoErr(err)
	})
}

// A guest's token says what its owner's journal can do, soon after a caller
// was refused.
func TestFetchedTokenFollowsTheJournal(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		gateway, _ := f.gatewayWithFetchedToken()
		f.is.True(f.tokenAt(gateway).Journaled)
		f.store.SetFaults(kvserver.Faults{Outage: true})
		_, err := f.pledge(gateway, f.key(gateway, "first"))
		f.is.True(err != nil)
		time.Sleep(time.Second)
		f.is.True(!f.tokenAt(gateway).Journaled)
		_, err = f.pledge(gateway, f.key(gateway, "second"))
		f.is.NoErr(err)
	})
}

// BenchmarkToken fetches tokens over TCP, as guests do: client and owner.
func BenchmarkToken(b *testing.B) {
	is := is.New(b)
	fleet := &fleet{}
	owner := actions.New(actions.Config{
		Self:           "entry-0~01",
		Directory:      &directory{fleet: fleet},
		Store:          kvserver.New(),
		MaxTokenOwners: owners.DefaultMax,
	})
	mux := http.NewServeMux()
	mux.Handle(owner.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	client := actionv1connect.NewActionServiceClient(server.Client(), server.URL)
	for b.Loop() {
		_, err := client.Token(context.Background(), connect.NewRequest(&actionv1.TokenRequest{}))
		is.NoErr(err)
	}
}
