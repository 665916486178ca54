package control_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/kvserver"
)

// members and minutes are the fleet's size and the virtual time in
// TestStoreCallsStayBounded; larger ones show the slope.
var (
	members = flag.Int("members", 12, "daemons in TestStoreCallsStayBounded")
	minutes = flag.Int("minutes", 2, "virtual minutes in TestStoreCallsStayBounded")
)

// designatedPerDomain is how many daemons of a failure domain may watch.
const designatedPerDomain = 2

// Every daemon of a large fleet watches the key-value service and renews a short
// lease. The service's rate, which grows more slowly than the fleet, is used up,
// and the operators' own changes are refused.
func TestStoreCallsStayBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetOf(t, *members)
		defer f.stop()
		begin := time.Now()
		f.waitUntil(time.Minute, "all know each other", f.allLive)
		t.Logf("%d daemons know each other after %s", *members, time.Since(begin))
		_, err := f.apply(0, 4, "first")
		is.NoErr(err)
		took := f.waitUntil(12*time.Second, "in force at every daemon", f.inForce(1))
		t.Logf("in force at every daemon %s after apply returned", took)
		time.Sleep(30 * time.Second)

		f.store.ResetCalls()
		var calls, bytes int64
		f.network.update(func(n *network) { calls, bytes = n.calls, n.bytes })
		span := time.Duration(*minutes) * time.Minute
		time.Sleep(span)
		counted := f.store.Calls()
		f.network.update(func(n *network) { calls, bytes = n.calls-calls, n.bytes-bytes })
		seconds := span.Seconds()
		t.Logf("store: %.2f reads/s, %.2f writes/s, %v", float64(counted.Reads())/seconds, float64(counted.Writes())/seconds, counted)
		t.Logf("peers: %.2f exchanges/s a daemon, %.0f body bytes an exchange",
			float64(calls)/seconds/float64(*members), float64(bytes)/float64(calls))

		watchers := designatedPerDomain * len(domains)
		is.True(counted[kvserver.CallWatch] <= watchers**minutes*4) // one in 20 s each, and some slack
		is.True(counted.Writes() <= *members**minutes*7)            // one in 10 s each
		is.True(float64(calls)/seconds/float64(*members) < 2.5)     // four links, one exchange in 2 s each
	})
}
