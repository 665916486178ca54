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
	log := service.NewExecutionLog()
	runner := func(name string) http.Handler { return service.New(name, log).Handler() }
	withFleet(t, size, maxOwners, runner, func(f *fleet) {
		f.log = log
		test(f)
	})
}

// tokenAt returns the token that a gateway hands out.
func (f *fleet) tokenAt(gateway int) actionkey.Token {
	f.is.Helper()
	text, lifetime := f.nodes[gateway].Token()
	token, err := actionkey.ParseToken(text)
	f.is.NoErr(err)
	f.is.True(lifetime > 0 && lifetime <= token.Lifetime)
	return token
}

// tokenOwners returns the owners whose tokens the gateways hand out.
func (f *fleet) tokenOwners() map[ident.Incarnation]bool {
	named := map[ident.Incarnation]bool{}
	for i := range f.nodes {
		named[f.tokenAt(i).Owner] = true
	}
	return named
}

// gatewayWithFetchedToken returns a gateway that issues no tokens, and the gateway
// that issued the token it hands out.
func (f *fleet) gatewayWithFetchedToken() (gateway, owner int) {
	for i := range f.nodes {
		if named := f.tokenAt(i).Owner; named != f.daemons[i].Incarnation {
			return i, f.daemonIndex(named)
		}
	}
	f.is.Fail() // no gateway hands out a fetched token
	return 0, 0
}

func (f *fleet) daemonIndex(incarnation ident.Incarnation) int {
	for i, d := range f.daemons {
		if d.Incarnation == incarnation {
			return i
		}
	}
	f.is.Fail() // a token names an unknown owner
	return 0
}

func (f *fleet) setState(index int, state view.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[index].State = state
}

// When each gateway had its own journal, the key-value service refused most
// writes of 1,800 gateways and actions failed everywhere. The rate of writes must
// depend on the number of token owners, not on the number of gateways.
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
		t.Logf("%.0f writes per second with %d gateways; %.2f fetches per second by each gateway that issues no tokens",
			writes/seconds, largeFleetSize, fetches)
		bounds := journal.DefaultConfig("")
		f.is.True(writes <= largeFleetOwners*(bounds.WritesPerSecond*seconds+bounds.Burst))
		f.is.True(fetches > 0.5 && fetches < 0.8) // Times.TokenRefresh is 2 s
		f.is.Equal(f.instantDispatcher.sent.Load(), int64(pledges*largeFleetSize))
	})
}

func (f *fleet) counterSum(name string) int64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.counter(name)
	}
	return sum
}

// An owner is reclaimed and the directory still lists it. Gateways that hand out
// its tokens must switch to another owner, or their callers would be refused for
// minutes.
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

// An owner's VM is suspended, so that its connections hang instead of being
// refused. Gateways that hand out its tokens must switch to another owner.
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

// A draining gateway refuses keys with its own token, so it must hand out the
// token of another owner to callers that still use it.
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

// A running daemon is no longer selected to issue tokens. It must still answer for
// keys with its tokens instead of refusing them because the owner has ended.
func TestOwnerNoLongerIssuingTokensAnswersItsKeys(t *testing.T) {
	withMediumFleet(t, func(f *fleet) {
		gateway, owner := f.gatewayWithFetchedToken()
		before, after := f.key(gateway, "before"), f.key(gateway, "after")
		want, err := f.pledge(gateway, before)
		f.is.NoErr(err)
		f.setState(owner, view.Suspect)
		time.Sleep(3 * time.Second)
		f.is.True(!f.tokenOwners()[f.daemons[owner].Incarnation]) // no gateway, including the owner, hands out its tokens

		got, err := f.outcome(gateway, before)
		f.is.NoErr(err)
		f.is.Equal(got, want)
		_, err = f.pledge(gateway, after)
		f.is.NoErr(err)
	})
}

// A gateway that can't reach any other must hand out its own token instead of
// refusing every action because it can't fetch one.
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

// After a call was refused because the owner's journal is unavailable, the gateway
// must soon hand out a newly fetched token. This token says that its keys are not
// journaled, and calls with it must succeed.
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

// BenchmarkToken measures client and owner when a token is fetched over TCP.
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
