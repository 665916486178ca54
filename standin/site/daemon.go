package site

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Ports on which a Daemon listens.
const (
	callerPort    = 18221
	readyPort     = 18224
	directoryPort = 18220
)

// The retry budget that Settings states: in any RetryWindow, the requests of a service that reach its runners beyond the
// first arrival of each may be RetryRatio times the service's requests and LeastRetries more.
const (
	RetryRatio   = 0.2
	RetryWindow  = 10 * time.Second
	LeastRetries = 50
)

// Daemon is a client's view of a daemon under test, which listens on its own IP address
// of the loopback interface.
type Daemon struct {
	IP string
	// Zone is its failure domain; empty for DefaultZone.
	Zone string
}

// Name returns the node name in the daemon's settings.
func (d Daemon) Name() string { return "edge-" + d.IP }

// CallerAddress returns the address to which callers connect.
func (d Daemon) CallerAddress() string { return fmt.Sprintf("%s:%d", d.IP, callerPort) }

// Settings returns the text of the daemon's settings file, followed by the extra lines
// of a test.
func (d Daemon) Settings(store, cloud, seeds string, extra ...string) string {
	lines := []string{
		"node_name=" + d.Name(), "zone=" + cmp.Or(d.Zone, DefaultZone), "ip=" + d.IP, "bootstrap=true", "port_range=17600,17601", "seeds=" + seeds,
		"listen.front=" + d.CallerAddress(), fmt.Sprintf("listen.readiness=%s:%d", d.IP, readyPort),
		fmt.Sprintf("listen.directory=%s:%d", d.IP, directoryPort),
		"platform.address=" + store, "cloud.address=" + cloud,
		"bounds.strict_revocation=true",
		fmt.Sprintf("bounds.retry_budget_ratio=%g", RetryRatio), fmt.Sprintf("bounds.budget_min_retries=%d", LeastRetries),
		fmt.Sprintf("bounds.budget_window_s=%g", RetryWindow.Seconds()),
		"bounds.usage_window_s=1", "bounds.usage_delay_s=5", "bounds.lease_ms=1500",
	}
	return strings.Join(append(lines, extra...), "\n")
}

// Ready reports whether the daemon's readiness endpoint, which the platform polls,
// says that the daemon accepts callers.
func (d Daemon) Ready(ctx context.Context, client *http.Client) bool {
	answer, err := get(ctx, client, fmt.Sprintf("http://%s:%d/v1/readyz", d.IP, readyPort))
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// ResolveHost asks the daemon's directory endpoint which addresses a caller should use for
// a host.
func (d Daemon) ResolveHost(ctx context.Context, client *http.Client, host string) ([]string, error) {
	url := fmt.Sprintf("http://%s:%d/v1/resolve?name=%s&region=x&zone=%s", d.IP, directoryPort, host, cmp.Or(d.Zone, DefaultZone))
	answer, err := get(ctx, client, url)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		return nil, fmt.Errorf("decode directory response of %s: %w", d.IP, err)
	}
	return body.Addresses, nil
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", url, err)
	}
	return client.Do(req)
}
