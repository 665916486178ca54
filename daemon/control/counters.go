package control

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of the control plane.
type counters struct {
	heartbeats       metrics.Counter
	heartbeatsFailed metrics.Counter
	probes           metrics.Counter
	fetches          metrics.Counter
	fetchesFailed    metrics.Counter
	headsRewritten   metrics.Counter
	activated        metrics.Counter
	rejected         metrics.Counter
	storeReads       metrics.Counter
	storeWrites      metrics.Counter
	storeFailures    metrics.Counter
	watchTimeouts    metrics.Counter
	lists            metrics.Counter
	notices          metrics.Counter
	submissions      metrics.Counter
	conflicts        metrics.Counter
	outcomesUnknown  metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("control."+name, r)
	}
	return counters{
		heartbeats:       counter("heartbeats"),
		heartbeatsFailed: counter("heartbeats_failed"),
		probes:           counter("probes_asked"),
		fetches:          counter("config_fetches"),
		fetchesFailed:    counter("config_fetches_failed"),
		headsRewritten:   counter("config_heads_rewritten"),
		activated:        counter("config_enforced"),
		rejected:         counter("config_rejected"),
		storeReads:       counter("store_reads"),
		storeWrites:      counter("store_writes"),
		storeFailures:    counter("store_failed"),
		watchTimeouts:    counter("store_watches_silent"),
		lists:            counter("vm_lists"),
		notices:          counter("notices"),
		submissions:      counter("submissions"),
		conflicts:        counter("submission_conflicts"),
		outcomesUnknown:  counter("submission_outcomes_unknown"),
	}
}
