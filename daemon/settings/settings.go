// Package settings reads a daemon's settings, a JSON file. It reports all
// problems at once, each with its JSON path.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
	"geraniumstack.org/geraniumstack/coordination/owners"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/tlsreload"
)

// Settings holds the local settings of one daemon, which it needs before it can
// reach its peers or the platform.
type Settings struct {
	// ID identifies this entry VM. A VM that replaces it uses the same ID.
	ID            ident.DaemonID      `json:"id" jsonschema:"minLength=1"`
	FailureDomain ident.FailureDomain `json:"failure_domain" jsonschema:"minLength=1"`
	Listen        Listen              `json:"listen"`
	// Seeds lists addresses of peers to contact first. The daemon's own address
	// may be among them.
	Seeds    []string `json:"seeds"`
	Platform Platform `json:"platform"`
	Limits   Limits   `json:"limits,omitempty"`
	Shutdown Shutdown `json:"shutdown,omitempty"`
	Admin    Admin    `json:"admin,omitempty"`
	// TLS configures the peer and admin listeners; without it they use plain
	// HTTP. Peers authenticate each other with client certificates.
	TLS *tlsreload.Source `json:"tls,omitempty"`
}

// Listen holds the addresses (IP and port) of the three listeners. With port 0
// the system chooses the port.
type Listen struct {
	Callers string `json:"callers" jsonschema:"minLength=1"`
	Peers   string `json:"peers" jsonschema:"minLength=1"`
	Admin   string `json:"admin" jsonschema:"minLength=1"`
}

// Platform holds the base URLs of the platform's services. Weights is optional.
type Platform struct {
	KeyValue string `json:"key_value" jsonschema:"minLength=1"`
	VMList   string `json:"vm_list" jsonschema:"minLength=1"`
	Cloud    string `json:"cloud" jsonschema:"minLength=1"`
	Weights  string `json:"weights,omitempty"`
}

// Limits bounds the resources that callers can use. Zero means the default.
type Limits struct {
	MaxBodyBytes            int64 `json:"max_body_bytes,omitempty" jsonschema:"minimum=0"`
	MaxHeaderBytes          int   `json:"max_header_bytes,omitempty" jsonschema:"minimum=0"`
	ReadTimeoutMillis       int   `json:"read_timeout_ms,omitempty" jsonschema:"minimum=0"`
	WriteTimeoutMillis      int   `json:"write_timeout_ms,omitempty" jsonschema:"minimum=0"`
	MaxConcurrent           int   `json:"max_concurrent,omitempty" jsonschema:"minimum=0"`
	GatewaysLifetimeMillis  int   `json:"gateways_lifetime_ms,omitempty" jsonschema:"minimum=0"`
	CallerHeartbeatMillis   int   `json:"caller_heartbeat_ms,omitempty" jsonschema:"minimum=0"`
	MaxServiceTimeoutMillis int   `json:"max_service_timeout_ms,omitempty" jsonschema:"minimum=0"`
	// MaxTokenOwners is the maximum number of daemons in the fleet that issue
	// action tokens. Each of them keeps a journal that costs up to 30 key-value
	// writes a second.
	MaxTokenOwners int `json:"max_token_owners,omitempty" jsonschema:"minimum=0,maximum=64"`
	// MemoryMB and MaxDescriptors are what the process may take. The requests of all callers together get a part of
	// the memory, and their connections a part of the descriptors.
	MemoryMB       int `json:"memory_mb,omitempty" jsonschema:"minimum=0"`
	MaxDescriptors int `json:"max_descriptors,omitempty" jsonschema:"minimum=0"`
}

// Shutdown holds the settings of a graceful shutdown.
type Shutdown struct {
	GraceMillis int `json:"grace_ms,omitempty" jsonschema:"minimum=0"`
}

// Admin holds the operators' credentials.
type Admin struct {
	Credentials []Credential `json:"credentials,omitempty"`
}

// Credential grants a role to the holder of a bearer key.
type Credential struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	Role string `json:"role" jsonschema:"enum=viewer,enum=operator"`
	// KeyHash is the SHA-256 hash of the bearer key, in hex.
	KeyHash string `json:"key_hash" jsonschema:"pattern=^[0-9a-f]{64}$"`
}

// Default values for Limits and Shutdown.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultReadTimeout       = 10 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultMaxConcurrent     = 4096
	DefaultGatewaysLifetime  = 2 * time.Second
	DefaultCallerHeartbeat   = 2 * time.Second
	DefaultMaxServiceTimeout = 30 * time.Second
	DefaultMaxTokenOwners    = owners.DefaultMax
	DefaultMemoryMB          = callerbudget.DefaultMemoryBytes >> 20
	DefaultMaxDescriptors    = callerbudget.DefaultDescriptors
	DefaultGrace             = 20 * time.Second
)

// Load reads and checks a settings file. If its content is invalid, the error
// is a *document.InvalidError.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks settings and fills in the defaults.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := document.Decode(data, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.FillDefaults()
	return &s, nil
}

// FillDefaults replaces zero values in Limits and Shutdown by their defaults.
func (s *Settings) FillDefaults() {
	l := &s.Limits
	setInt64(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setInt(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setMillis(&l.ReadTimeoutMillis, DefaultReadTimeout)
	setMillis(&l.WriteTimeoutMillis, DefaultWriteTimeout)
	setInt(&l.MaxConcurrent, DefaultMaxConcurrent)
	setMillis(&l.GatewaysLifetimeMillis, DefaultGatewaysLifetime)
	setMillis(&l.CallerHeartbeatMillis, DefaultCallerHeartbeat)
	setMillis(&l.MaxServiceTimeoutMillis, DefaultMaxServiceTimeout)
	setInt(&l.MaxTokenOwners, DefaultMaxTokenOwners)
	setInt(&l.MemoryMB, DefaultMemoryMB)
	setInt(&l.MaxDescriptors, DefaultMaxDescriptors)
	setMillis(&s.Shutdown.GraceMillis, DefaultGrace)
}

func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setInt64(v *int64, d int64) {
	if *v == 0 {
		*v = d
	}
}

func setMillis(v *int, d time.Duration) { setInt(v, int(d.Milliseconds())) }

// Millis converts a setting in milliseconds to a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Check reports addresses that are not an IP and a port, URLs whose host is not
// an IP, listeners that share an address, and credentials that share a key.
func (s *Settings) Check() []document.Problem {
	var c checker
	c.address("/listen/callers", s.Listen.Callers)
	c.address("/listen/peers", s.Listen.Peers)
	c.address("/listen/admin", s.Listen.Admin)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("/seeds/%d", i), seed)
	}
	c.baseURL("/platform/key_value", s.Platform.KeyValue)
	c.baseURL("/platform/vm_list", s.Platform.VMList)
	c.baseURL("/platform/cloud", s.Platform.Cloud)
	if s.Platform.Weights != "" {
		c.baseURL("/platform/weights", s.Platform.Weights)
	}
	c.distinct(s.Listen)
	c.credentials(s.Admin.Credentials)
	return c.problems
}

type checker struct{ problems []document.Problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, document.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "must be an IP address and a port: %v", err)
	}
}

func (c *checker) baseURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil {
		c.add(path, "must be a URL: %v", err)
		return
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		c.add(path, "must begin with http:// or https://")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(path, "must name its host by IP address")
	}
}

func (c *checker) distinct(l Listen) {
	seen := map[string]string{}
	for _, entry := range []struct{ path, address string }{
		{"/listen/callers", l.Callers}, {"/listen/peers", l.Peers}, {"/listen/admin", l.Admin},
	} {
		if ap, err := netip.ParseAddrPort(entry.address); err != nil || ap.Port() == 0 {
			continue
		}
		if first, ok := seen[entry.address]; ok {
			c.add(entry.path, "is the same as %s", first)
		}
		seen[entry.address] = entry.path
	}
}

func (c *checker) credentials(list []Credential) {
	seen := map[string]int{}
	for i, cred := range list {
		if first, ok := seen[cred.KeyHash]; ok {
			c.add(fmt.Sprintf("/admin/credentials/%d/key_hash", i), "is the same as that of credential %d", first)
		}
		seen[cred.KeyHash] = i
	}
}
