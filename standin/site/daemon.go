package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// Ports at which a Daemon listens.
const (
	callerPort    = 18221
	readyPort     = 18224
	directoryPort = 18220
)

// Daemon is a daemon under test at an address of its own on the loopback interface, as
// the platform and callers see it.
type Daemon struct{ IP string }

// Name is what the daemon is called in its settings.
func (d Daemon) Name() string { return "edge-" + d.IP }

// CallerAddress is where callers connect.
func (d Daemon) CallerAddress() string { return fmt.Sprintf("%s:%d", d.IP, callerPort) }

// Settings is the text of the daemon's settings file, with more lines for what a test
// needs beside.
func (d Daemon) Settings(store, cloud, seeds string, extra ...string) string {
	lines := []string{
		"node_name=" + d.Name(), "zone=north", "ip=" + d.IP, "bootstrap=true", "port_range=17600,17601", "seeds=" + seeds,
		"listen.front=" + d.CallerAddress(), fmt.Sprintf("listen.readiness=%s:%d", d.IP, readyPort),
		fmt.Sprintf("listen.directory=%s:%d", d.IP, directoryPort),
		"platform.address=" + store, "cloud.address=" + cloud,
		"bounds.strict_revocation=true", "bounds.retry_budget_ratio=0.2", "bounds.budget_min_retries=50",
		"bounds.usage_window_s=1", "bounds.usage_delay_s=5", "bounds.lease_ms=1500",
	}
	return strings.Join(append(lines, extra...), "\n")
}

// Ready asks as the platform does whether the daemon takes callers.
func (d Daemon) Ready(ctx context.Context, client *http.Client) bool {
	answer, err := get(ctx, client, fmt.Sprintf("http://%s:%d/v1/readyz", d.IP, readyPort))
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// ResolveHost asks which addresses a caller should use for a host.
func (d Daemon) ResolveHost(ctx context.Context, client *http.Client, host string) ([]string, error) {
	url := fmt.Sprintf("http://%s:%d/v1/resolve?name=%s&region=x&zone=north", d.IP, directoryPort, host)
	answer, err := get(ctx, client, url)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		return nil, fmt.Errorf("directory of %s: %w", d.IP, err)
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
