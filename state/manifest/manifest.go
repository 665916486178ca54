// Package manifest defines the desired state that operators submit: models,
// services, workspaces, latency classes, and the fleet that runs them. Format
// is the version of its JSON representation.
package manifest

import (
	"geraniumstack.org/geraniumstack/state/ident"
)

// Format is the version of the JSON representation that this program supports.
const Format = "geraniumstack/v1"

// Manifest is one complete desired state.
type Manifest struct {
	Format     string      `json:"format" jsonschema:"enum=geraniumstack/v1"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services" jsonschema:"minItems=1"`
	Workspaces []Workspace `json:"workspaces" jsonschema:"minItems=1"`
	Classes    []Class     `json:"classes" jsonschema:"minItems=1"`
	Fleet      Fleet       `json:"fleet"`
}

// Model is a model and the version of it to serve.
type Model struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Version string `json:"version" jsonschema:"minLength=1"`
	// Service is the name of the model service whose runners serve the model.
	Service  string    `json:"service" jsonschema:"minLength=1"`
	Adapters []Adapter `json:"adapters,omitempty"`
	// Priority orders the models if not all can be loaded. Models with higher
	// values are loaded first.
	Priority int     `json:"priority,omitempty"`
	Canary   *Canary `json:"canary,omitempty"`
}

// Adapter is a set of adapter weights that is applied to a model.
type Adapter struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Version string `json:"version" jsonschema:"minLength=1"`
}

// Canary requests a new model version on a share of the runners first.
type Canary struct {
	Version string `json:"version" jsonschema:"minLength=1"`
	// Share is the fraction of the runners, from 0 to 1.
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1"`
}

// Kind distinguishes model services from plain services.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a set of identical runners.
type Service struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Kind    Kind   `json:"kind" jsonschema:"enum=model,enum=plain"`
	Runners int    `json:"runners" jsonschema:"minimum=1"`
	// ChecksFencing states that the runners reject an order whose fencing token
	// is older than one that they have seen.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Role is the role that the runners' engines are started in, as the engines
	// call it. If it is empty, the engines keep their default role. Only model
	// services may have a role.
	Role   string  `json:"role,omitempty"`
	Routes []Route `json:"routes,omitempty"`
}

// OutagePolicy defines what happens to an action while the key-value service
// is unavailable, so that the action can't be journaled.
type OutagePolicy string

// Outage policies.
const (
	// OutageRun runs the action without a journal entry. It still runs at most
	// once, but its outcome is unknown if its owner crashes.
	OutageRun OutagePolicy = "run"
	// OutageRefuse refuses the action as not executed.
	OutageRefuse OutagePolicy = "refuse"
)

// Route matches calls of a plain service by method and path prefix.
type Route struct {
	Method string `json:"method" jsonschema:"minLength=1"`
	Path   string `json:"path" jsonschema:"pattern=^/"`
	// Repeatable means that a call may run twice without harm.
	Repeatable   bool         `json:"repeatable"`
	OutagePolicy OutagePolicy `json:"outage_policy,omitempty" jsonschema:"enum=run,enum=refuse"`
	Class        string       `json:"class,omitempty"`
}

// Workspace is a customer with its credentials and limits.
type Workspace struct {
	Name ident.Workspace `json:"name" jsonschema:"minLength=1"`
	// KeyHashes holds the SHA-256 hashes of the bearer keys in hex.
	KeyHashes []string `json:"key_hashes" jsonschema:"minItems=1"`
	// Weight determines the workspace's share of the capacity relative to the
	// other workspaces.
	Weight float64 `json:"weight" jsonschema:"exclusiveMinimum=0"`
	// MaxConcurrent is the maximum number of requests in progress per gateway.
	// Zero means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty" jsonschema:"minimum=0"`
	// TokensPerSecond is the maximum rate of generated tokens per gateway. Zero
	// means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" jsonschema:"minimum=0"`
}

// Class is a class of work with its latency targets.
type Class struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// Priority orders the classes, at the gateways and at the engines. The
	// class with the highest value is the most urgent. The priority of a
	// route.Route has the opposite order.
	Priority int `json:"priority"`
	// TTFTMillis is the target for the time to the first token at the 95th
	// percentile.
	TTFTMillis int `json:"ttft_ms" jsonschema:"minimum=1"`
	// TBTMillis is the target for the time between tokens at the 95th
	// percentile.
	TBTMillis int `json:"tbt_ms" jsonschema:"minimum=1"`
	// Deferrable means that requests wait for capacity instead of being
	// refused.
	Deferrable bool `json:"deferrable,omitempty"`
	// DeadlineMillis is the deadline of requests whose caller gives none. Zero
	// means no deadline.
	DeadlineMillis int `json:"deadline_ms,omitempty" jsonschema:"minimum=0"`
}

// Fleet defines where runners may run and what they may cost.
type Fleet struct {
	FailureDomains []ident.FailureDomain `json:"failure_domains" jsonschema:"minItems=1"`
	VMClasses      []VMClass             `json:"vm_classes" jsonschema:"minItems=1"`
	// MaxCostPerHour is the maximum price of the fleet. Zero means no limit.
	MaxCostPerHour float64 `json:"max_cost_per_hour,omitempty" jsonschema:"minimum=0"`
	// SurviveDomainLoss requires enough runners to keep the desired number if
	// any one failure domain is lost.
	SurviveDomainLoss bool `json:"survive_domain_loss,omitempty"`
}

// VMClass is a type of VM that the cloud offers.
type VMClass struct {
	Name        string `json:"name" jsonschema:"minLength=1"`
	Reclaimable bool   `json:"reclaimable"`
	// PricePerHour is the list price. A quote of the cloud takes precedence
	// over it.
	PricePerHour float64 `json:"price_per_hour" jsonschema:"exclusiveMinimum=0"`
	// Services lists the services that may run on the class. If it is empty,
	// any service may.
	Services []string `json:"services,omitempty"`
}
