package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/examples"
	"geraniumstack.org/geraniumstack/standin/fleet"
)

const (
	// defaultMemoryMB bounds the memory of a daemon whose settings state no limit.
	defaultMemoryMB = 256

	productIP     = "127.0.0.82"
	callersPort   = 17001
	adminPort     = 17003
	operatorKey   = "example-operator-key"
	operatorHash  = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"
	ownersKey     = "Bearer huaman-key-owners"
	productBodies = 4<<20 - 64<<10
)

// product is one daemon of the product's own interface, with its stand-ins.
type product struct{ *process }

func startProduct(t *testing.T) *product {
	is := is.New(t)
	settings, err := fleet.Huaman()
	is.NoErr(err)
	standins, err := fleet.Start(settings, fleet.Options{})
	is.NoErr(err)
	t.Cleanup(standins.Close)
	addresses := standins.Addresses()
	dir := t.TempDir()
	file, err := json.Marshal(map[string]any{
		"id": "gateway-1", "failure_domain": "lima-norte", "seeds": []string{},
		"listen":   map[string]any{"callers": address(callersPort), "peers": address(17002), "admin": address(adminPort)},
		"platform": map[string]any{"key_value": addresses.KeyValue, "vm_list": addresses.VMList, "cloud": addresses.Cloud, "weights": addresses.Weights},
		"admin":    map[string]any{"credentials": []any{map[string]any{"name": "pipeline", "role": "operator", "key_hash": operatorHash}}},
	})
	is.NoErr(err)
	path, manifest := filepath.Join(dir, "settings.json"), filepath.Join(dir, "manifest.json")
	is.NoErr(os.WriteFile(path, file, 0o600))
	is.NoErr(os.WriteFile(manifest, examples.Huaman, 0o600))
	p := &product{startProcess(t, productIP, nil, "-settings", path)}
	apply := func() bool {
		c := exec.Command(filepath.Join(programs, "geraniumctl"), "apply", "-admin", "http://"+address(adminPort), "-wait", "0s", manifest)
		c.Env = append(os.Environ(), "GERANIUM_ADMIN_KEY="+operatorKey)
		out, err := c.CombinedOutput()
		if err != nil {
			t.Logf("apply: %v: %s", err, out)
		}
		return err == nil || strings.Contains(string(out), "accepted")
	}
	p.until("configured", apply)
	return p
}

func address(port int) string { return fmt.Sprintf("%s:%d", productIP, port) }

// checkAnswered sends a pledge, and again while it is refused, until it is answered.
func (p *product) checkAnswered(what string, bodyBytes int) {
	p.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last, n := "", 0
	defer func() {
		if p.t.Failed() {
			p.t.Logf("%s: last answer: %s", what, last)
		}
	}()
	p.until(what, func() bool {
		n++
		token, err := keyToken(client)
		if err != nil {
			last = err.Error()
			return false
		}
		body := fmt.Appendf(nil, `{"amount":20,"note":"%s"}`, strings.Repeat("n", bodyBytes))
		req, err := http.NewRequest(http.MethodPost, "http://"+address(callersPort)+"/v1/services/casos/pledges", bytes.NewReader(body))
		p.NoErr(err)
		req.Header.Set("Authorization", ownersKey)
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%s%s-%d", token, strings.ReplaceAll(what, " ", "-"), n))
		answer, err := client.Do(req)
		if err != nil {
			last = err.Error()
			return false
		}
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		last = fmt.Sprint(answer.Status, " ", string(text[:min(len(text), 300)]), err)
		return err == nil && answer.Header.Get("X-Executed") == "yes"
	})
}

func keyToken(client *http.Client) (string, error) {
	answer, err := client.Get("http://" + address(callersPort) + "/v1/gateways")
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	var list struct {
		Token string `json:"key_token"`
	}
	err = json.NewDecoder(answer.Body).Decode(&list)
	return list.Token, err
}

// Guards against crowds at the product's own interface whose unfinished bodies end the process.
func TestCrowdLeavesProductWithinItsMemory(t *testing.T) {
	requests := map[string]string{"chat": "/v1/chat/completions", "pledges": "/v1/services/casos/pledges", "unknown service": "/v1/services/none/pledges"}
	allowed := map[string][]int{
		"chat": {noRoom, late, http.StatusAccepted}, "pledges": {noRoom, late}, "unknown service": {noRoom, late, http.StatusNotFound},
	}
	for name, path := range requests {
		t.Run(name, func(t *testing.T) {
			p := startProduct(t)
			p.checkAnswered("answered in calm", 0)
			c := bodies(path, ownersKey)
			c.size = 100
			a := c.come(address(callersPort))
			p.checkAnswered("answered beside the crowd", 0)
			time.Sleep(settleTime)
			a.leave()
			p.checkAnswered("answered in calm again", productBodies)
			u := p.largestUsage()
			t.Logf("largest: %d MB of memory (bound %d), %d MB of it unread; the crowd's answers: %v", u.memory>>20, defaultMemoryMB, u.unread>>20, a.statuses)
			if u.memory > defaultMemoryMB<<20 {
				t.Errorf("memory over its limit")
			}
			for status := range a.statuses {
				if !slices.Contains(allowed[name], status) {
					t.Errorf("the crowd was told %d", status)
				}
			}
			p.stop()
		})
	}
}
