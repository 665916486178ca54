package fleet

import (
	_ "embed"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// Settings describe a complete set of stand-ins. Optional fields with the
// zero value get their defaults.
type Settings struct {
	Listen         Listen                `json:"listen"`
	FailureDomains []ident.FailureDomain `json:"failure_domains" jsonschema:"minItems=1"`
	VMClasses      []VMClass             `json:"vm_classes" jsonschema:"minItems=1"`
	Services       []Service             `json:"services" jsonschema:"minItems=1"`
	// EntryVMs are added to the VM list. The fleet does not run their
	// processes.
	EntryVMs []EntryVM `json:"entry_vms,omitempty"`
	// KeyValue sets the rate limits of the key-value service.
	KeyValue kvserver.Limits `json:"key_value,omitempty"`
	Engine   Engine          `json:"engine,omitempty"`
	Cloud    Cloud           `json:"cloud,omitempty"`
	Weights  Weights         `json:"weights,omitempty"`
}

// Listen holds the addresses (IP and port) on which the platform's services
// listen. With port 0 the operating system chooses a port.
type Listen struct {
	KeyValue string `json:"key_value" jsonschema:"minLength=1"`
	Cloud    string `json:"cloud" jsonschema:"minLength=1"`
	Weights  string `json:"weights" jsonschema:"minLength=1"`
	// RunnerHost is the IP address on which all runners listen. The operating
	// system chooses the port of each runner.
	RunnerHost string `json:"runner_host" jsonschema:"minLength=1"`
}

// VMClass is a VM class, which the cloud offers in every failure domain.
type VMClass struct {
	Name         string  `json:"name" jsonschema:"minLength=1"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"price_per_hour" jsonschema:"exclusiveMinimum=0"`
}

// Service is a set of runners, which are distributed over the failure domains
// in rotation.
type Service struct {
	Name string        `json:"name" jsonschema:"minLength=1"`
	Kind manifest.Kind `json:"kind" jsonschema:"enum=model,enum=plain"`
	// Runners is the number of runners that are started with the fleet.
	Runners int    `json:"runners" jsonschema:"minimum=0"`
	VMClass string `json:"vm_class" jsonschema:"minLength=1"`
	// Models are loaded on the runners that are started with the fleet.
	// Runners that are started through the cloud API have no models until an
	// order to load them.
	Models        []Model `json:"models,omitempty"`
	ChecksFencing bool    `json:"checks_fencing,omitempty"`
}

// Model is a model that the runners of a service load.
type Model struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Version string `json:"version" jsonschema:"minLength=1"`
	// Adapters are named name@version, as in the load report.
	Adapters []string `json:"adapters,omitempty"`
	// Bytes is the size of the model's weights in the weight store.
	Bytes int64 `json:"bytes,omitempty" jsonschema:"minimum=0"`
}

// EntryVM is a VM on which a daemon runs.
type EntryVM struct {
	ID            string              `json:"id" jsonschema:"minLength=1"`
	Address       string              `json:"address" jsonschema:"minLength=1"`
	FailureDomain ident.FailureDomain `json:"failure_domain" jsonschema:"minLength=1"`
	VMClass       string              `json:"vm_class" jsonschema:"minLength=1"`
}

// Engine overrides the default speed and capacity of all model engines.
type Engine struct {
	PrefillTokensPerSecond    float64 `json:"prefill_tokens_per_second,omitempty" jsonschema:"minimum=0"`
	DecodeStepMillis          float64 `json:"decode_step_ms,omitempty" jsonschema:"minimum=0"`
	MaxBatch                  int     `json:"max_batch,omitempty" jsonschema:"minimum=0"`
	MaxQueue                  int     `json:"max_queue,omitempty" jsonschema:"minimum=0"`
	PreemptRunning            bool    `json:"preempt_running,omitempty"`
	KVBlocks                  int     `json:"kv_blocks,omitempty" jsonschema:"minimum=0"`
	KVBytesPerToken           int64   `json:"kv_bytes_per_token,omitempty" jsonschema:"minimum=0"`
	ExportBytesPerSecond      float64 `json:"export_bytes_per_second,omitempty" jsonschema:"minimum=0"`
	LoadReportMillis          int     `json:"load_report_ms,omitempty" jsonschema:"minimum=0"`
	CacheEventLagMillis       int     `json:"cache_event_lag_ms,omitempty" jsonschema:"minimum=0"`
	CacheEventGap             uint64  `json:"cache_event_gap,omitempty"`
	OrderMillis               int     `json:"order_ms,omitempty" jsonschema:"minimum=0"`
	RefuseAttemptsWhenLeaving bool    `json:"refuse_attempts_when_leaving,omitempty"`
}

// Cloud sets the prices, delays and checks of the cloud API and the VM list.
type Cloud struct {
	Seed                     uint64  `json:"seed,omitempty"`
	PriceSpread              float64 `json:"price_spread,omitempty" jsonschema:"minimum=0,maximum=1"`
	PricePeriodMillis        int     `json:"price_period_ms,omitempty" jsonschema:"minimum=0"`
	StartMillis              int     `json:"start_ms,omitempty" jsonschema:"minimum=0"`
	ListLagMillis            int     `json:"list_lag_ms,omitempty" jsonschema:"minimum=0"`
	RefuseAfterReclaimMillis int     `json:"refuse_after_reclaim_ms,omitempty" jsonschema:"minimum=0"`
	ChecksFencing            bool    `json:"checks_fencing,omitempty"`
}

// Weights sets the limits of the weight store. Zero selects the defaults.
type Weights struct {
	CallsPerSecond float64 `json:"calls_per_second,omitempty" jsonschema:"minimum=0"`
	Burst          int     `json:"burst,omitempty" jsonschema:"minimum=0"`
	// BytesPerSecond is the bandwidth that all transfers of weights share;
	// zero means no limit.
	BytesPerSecond float64 `json:"bytes_per_second,omitempty" jsonschema:"minimum=0"`
}

// Default rate limit of the weight store, in calls per second, and its burst.
const (
	DefaultWeightCalls = 5
	DefaultWeightBurst = 10
)

var (
	//go:embed huaman.json
	huaman []byte
	//go:embed aspencoulee.json
	aspenCoulee []byte
)

// Huaman returns settings of the size of the Huamán Lost Pet Alert Routing
// Fleet.
func Huaman() (Settings, error) { return Parse(huaman) }

// AspenCoulee returns settings of the size of the Aspen Coulee Slot Brokerage
// Model Fleet.
func AspenCoulee() (Settings, error) { return Parse(aspenCoulee) }

// Load reads and checks a settings file. For invalid content it returns a
// *document.InvalidError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks settings.
func Parse(data []byte) (Settings, error) {
	var s Settings
	if err := document.Decode(data, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Check reports undefined and repeated names, and model services without a
// model.
func (s *Settings) Check() []document.Problem {
	var problems []document.Problem
	seen := map[string]bool{}
	for i, service := range s.Services {
		path := "/services/" + strconv.Itoa(i)
		if seen[service.Name] {
			problems = append(problems, document.Problem{Path: path + "/name", Reason: "service is defined twice"})
		}
		seen[service.Name] = true
		if !s.hasClass(service.VMClass) {
			problems = append(problems, document.Problem{Path: path + "/vm_class", Reason: "no such VM class"})
		}
		if service.Kind == manifest.KindModel && len(service.Models) == 0 {
			problems = append(problems, document.Problem{Path: path + "/models", Reason: "a model service needs a model"})
		}
	}
	for i, vm := range s.EntryVMs {
		path := "/entry_vms/" + strconv.Itoa(i)
		if !s.hasClass(vm.VMClass) {
			problems = append(problems, document.Problem{Path: path + "/vm_class", Reason: "no such VM class"})
		}
		if !slices.Contains(s.FailureDomains, vm.FailureDomain) {
			problems = append(problems, document.Problem{Path: path + "/failure_domain", Reason: "no such failure domain"})
		}
	}
	return problems
}

func (s *Settings) hasClass(name string) bool {
	return slices.ContainsFunc(s.VMClasses, func(c VMClass) bool { return c.Name == name })
}

func (s *Settings) class(name string) VMClass {
	i := slices.IndexFunc(s.VMClasses, func(c VMClass) bool { return c.Name == name })
	if i < 0 {
		return VMClass{Name: name}
	}
	return s.VMClasses[i]
}

func (s *Settings) service(name string) (Service, bool) {
	i := slices.IndexFunc(s.Services, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return s.Services[i], true
}

// engineConfig returns the configuration of a runner's engine.
func (s *Settings) engineConfig(runnerID string, service Service, models []Model) engine.Config {
	cfg := engine.DefaultConfig(runnerID, "", "")
	cfg.Models = nil
	for _, m := range models {
		cfg.Models = append(cfg.Models, engineapi.LoadedModel{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	e := s.Engine
	setIfNonZero(&cfg.PrefillRate, e.PrefillTokensPerSecond)
	setIfNonZero(&cfg.StepTime, time.Duration(e.DecodeStepMillis*float64(time.Millisecond)))
	setIfNonZero(&cfg.MaxBatch, e.MaxBatch)
	setIfNonZero(&cfg.MaxQueue, e.MaxQueue)
	setIfNonZero(&cfg.KVBlocks, e.KVBlocks)
	setIfNonZero(&cfg.BytesPerToken, e.KVBytesPerToken)
	setIfNonZero(&cfg.ExportBandwidth, e.ExportBytesPerSecond)
	setIfNonZero(&cfg.LoadPeriod, millis(e.LoadReportMillis))
	setIfNonZero(&cfg.EventDelay, millis(e.CacheEventLagMillis))
	setIfNonZero(&cfg.DropEveryNthEvent, e.CacheEventGap)
	setIfNonZero(&cfg.LoadTime, millis(e.OrderMillis))
	cfg.PreemptRunning = e.PreemptRunning
	cfg.RefuseWhenLeaving = e.RefuseAttemptsWhenLeaving
	cfg.ChecksFencing = service.ChecksFencing
	return cfg
}

// setIfNonZero overrides a default with a setting, unless the setting is
// zero.
func setIfNonZero[T comparable](target *T, setting T) {
	var zero T
	if setting != zero {
		*target = setting
	}
}

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
