// Package fixedseed sets a fixed seed for property tests with rapid, so that
// they draw the same values in every run and CI results are reproducible. Tests
// import it for its side effect. The -rapid.seed flag on the command line
// overrides the seed.
package fixedseed

import (
	"flag"
	"fmt"

	// rapid must define its flags before init sets them.
	_ "pgregory.net/rapid"
)

const seed = "20261203"

func init() {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Errorf("set flag %s: %w", name, err))
	}
}
