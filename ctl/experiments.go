package ctl

import (
	"geraniumstack.org/geraniumstack/bench"
)

// experiments lists what the bench command can run.
func experiments() []bench.Experiment {
	return []bench.Experiment{}
}
