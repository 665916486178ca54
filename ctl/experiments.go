package ctl

import (
	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/bench/actions"
	"geraniumstack.org/geraniumstack/bench/control"
	"geraniumstack.org/geraniumstack/bench/fleet"
	"geraniumstack.org/geraniumstack/bench/orders"
	"geraniumstack.org/geraniumstack/bench/overhead"
	"geraniumstack.org/geraniumstack/bench/overload"
	"geraniumstack.org/geraniumstack/bench/placement"
	"geraniumstack.org/geraniumstack/bench/reclaim"
	"geraniumstack.org/geraniumstack/bench/spread"
)

// experiments returns the experiments that the bench command can run.
func experiments() []bench.Experiment {
	return []bench.Experiment{
		actions.Experiment{},
		control.Experiment{},
		fleet.Experiment{},
		orders.Experiment{},
		overhead.Experiment{},
		overload.Experiment{},
		placement.Experiment{},
		reclaim.Experiment{},
		spread.Experiment{},
	}
}
