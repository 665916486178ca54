// Package manifest holds the operators' desired state: models, services,
// workspaces, latency classes and the fleet to run them on. Its JSON form is
// versioned by Format.
package manifest

import (
	"geraniumstack.org/geraniumstack/state/ident"
)

// Format is the version of the JSON form that this code reads.
const Format = "geraniumstack/v1"

// Manifest is one whole desired state.
type Manifest struct {
	Format     string      `json:"format" jsonschema:"enum=geraniumstack/v1"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services" jsonschema:"minItems=1"`
	Workspaces []Workspace `json:"workspaces" jsonschema:"minItems=1"`
	Classes    []Class     `json:"classes" jsonschema:"minItems=1"`
	Fleet      Fleet       `json:"fleet"`
}

// Model is one model with the version that should serve it.
type Model struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Version string `json:"version" jsonschema:"minLength=1"`
	// Service names the model service whose runners serve the model.
	Service  string    `json:"service" jsonschema:"minLength=1"`
	Adapters []Adapter `json:"adapters,omitempty"`
	// Priority orders models when not all can be loaded; higher first.
	Priority int     `json:"priority,omitempty"`
	Canary   *Canary `json:"canary,omitempty"`
}

// Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Version string `json:"version" jsonschema:"minLength=1"`
}

// Canary asks for a new version on a share of the runners first.
type Canary struct {
	Version string `json:"version" jsonschema:"minLength=1"`
	// Share of the runners, 0 to 1.
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1"`
}

// Kind tells a model service from a plain one.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a set of equal runners.
type Service struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Kind    Kind   `json:"kind" jsonschema:"enum=model,enum=plain"`
	Runners int    `json:"runners" jsonschema:"minimum=1"`
	// ChecksFencing says that the runners refuse an order whose fencing
	// number is older than one they have seen.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Role is what the runners' engines are told to be, in the engines' own
	// words; empty leaves them as they are. Model services only.
	Role   string  `json:"role,omitempty"`
	Routes []Route `json:"routes,omitempty"`
}

// OutagePolicy says what to do with an action while the key-value service
// can't journal it.
type OutagePolicy string

// Outage policies.
const (
	// OutageRun runs it unjournaled: still at most once, but after a crash of
	// its owner the outcome is unknown.
	OutageRun OutagePolicy = "run"
	// OutageRefuse refuses it with executed "no".
	OutageRefuse OutagePolicy = "refuse"
)

// Route is a set of calls of a plain service: a method and a path prefix.
type Route struct {
	Method string `json:"method" jsonschema:"minLength=1"`
	Path   string `json:"path" jsonschema:"pattern=^/"`
	// Repeatable calls may run twice without harm.
	Repeatable   bool         `json:"repeatable"`
	OutagePolicy OutagePolicy `json:"outage_policy,omitempty" jsonschema:"enum=run,enum=refuse"`
	Class        string       `json:"class,omitempty"`
}

// Workspace is one customer with its credentials and limits.
type Workspace struct {
	Name ident.Workspace `json:"name" jsonschema:"minLength=1"`
	// KeyHashes are SHA-256 hashes, in hex, of the bearer keys.
	KeyHashes []string `json:"key_hashes" jsonschema:"minItems=1"`
	// Weight is the share of capacity relative to the other workspaces.
	Weight float64 `json:"weight" jsonschema:"exclusiveMinimum=0"`
	// MaxConcurrent bounds requests in progress per gateway; zero is no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty" jsonschema:"minimum=0"`
	// TokensPerSecond bounds generated tokens per gateway; zero is no bound.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" jsonschema:"minimum=0"`
}

// Class is a kind of work with its latency targets.
type Class struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// Priority orders classes; higher first, also at the engines.
	Priority int `json:"priority"`
	// TTFTMillis is the target for the first token of 95 in 100 requests.
	TTFTMillis int `json:"ttft_ms" jsonschema:"minimum=1"`
	// TBTMillis is the target between tokens of 95 in 100.
	TBTMillis int `json:"tbt_ms" jsonschema:"minimum=1"`
	// Deferrable work waits for capacity instead of being refused.
	Deferrable bool `json:"deferrable,omitempty"`
	// DeadlineMillis applies where the caller gives none; zero is none.
	DeadlineMillis int `json:"deadline_ms,omitempty" jsonschema:"minimum=0"`
}

// Fleet says where runners may run and what they may cost.
type Fleet struct {
	FailureDomains []ident.FailureDomain `json:"failure_domains" jsonschema:"minItems=1"`
	VMClasses      []VMClass             `json:"vm_classes" jsonschema:"minItems=1"`
	// MaxCostPerHour bounds the fleet's price; zero is no bound.
	MaxCostPerHour float64 `json:"max_cost_per_hour,omitempty" jsonschema:"minimum=0"`
	// SurviveDomainLoss keeps the target with any one failure domain gone.
	SurviveDomainLoss bool `json:"survive_domain_loss,omitempty"`
}

// VMClass is a kind of VM that the cloud sells.
type VMClass struct {
	Name        string `json:"name" jsonschema:"minLength=1"`
	Reclaimable bool   `json:"reclaimable"`
	// PricePerHour is the list price; the cloud's quotes go before it.
	PricePerHour float64 `json:"price_per_hour" jsonschema:"exclusiveMinimum=0"`
	// Services that may run on it; empty is any.
	Services []string `json:"services,omitempty"`
}
