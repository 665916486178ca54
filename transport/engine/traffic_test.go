package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// countingConn counts the bytes that a connection transfers in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// The estimate must be close to the actual traffic. Otherwise a traffic budget that relies on it
// would not hold in practice.
func TestTrafficEstimateIsAccurate(t *testing.T) {
	is := is.New(t)
	load := engineapi.Load{RunnerID: "vm-1", MaxRunning: 16, PrefillRate: 8000, Models: []engineapi.LoadedModel{{Model: "m", Version: "1"}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		if err := json.NewEncoder(w).Encode(load); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	var transferred atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		return countingConn{conn, &transferred}, err
	}
	client := New(server.URL, &http.Client{Transport: &http.Transport{DialContext: dial}})
	traffic := &Traffic{}
	const calls = 10
	for range calls {
		_, err := client.Load(WithTraffic(t.Context(), traffic))
		is.NoErr(err)
	}
	estimate, actual := float64(traffic.Bytes()-calls*packetOverheadBytes), float64(transferred.Load())
	t.Logf("%.0f bytes estimated, %.0f carried, %d calls", estimate, actual, calls)
	is.True(estimate > 0.9*actual && estimate < 1.1*actual)
}
