package control_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/kvserver"
)

// members and minutes set the fleet's size and the virtual time in
// TestStoreCallsStayBounded. Larger values show how the call rates grow with
// the fleet.
var (
	members = flag.Int("members", 12, "daemons in TestStoreCallsStayBounded")
	minutes = flag.Int("minutes", 2, "virtual minutes in TestStoreCallsStayBounded")
)

// designatedPerDomain is the number of daemons in each failure domain that may
// watch the key-value service.
const designatedPerDomain = 2

// The rate of calls to the key-value service must grow more slowly than the
// fleet. If every daemon watched the service and renewed a short lease, a large
// fleet would use up its capacity, and operators' changes would be refused.
func TestStoreCallsStayBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetOf(t, *members)
		defer f.stop()
		begin := time.Now()
		f.waitUntil(time.Minute, "all daemons see each other as live", f.allLive)
		t.Logf("%d daemons see each other as live after %s", *members, time.Since(begin))
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
		is.True(counted[kvserver.CallWatch] <= watchers**minutes*4) // each watches once in 20 s, with a margin
		is.True(counted.Writes() <= *members**minutes*7)            // each writes once in 10 s, with a margin
		is.True(float64(calls)/seconds/float64(*members) < 2.5)     // four links, one exchange in 2 s each
	})
}
