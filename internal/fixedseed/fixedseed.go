// Package fixedseed makes rapid's properties draw the same values in every run,
// so that CI gives the same verdict each time. Tests import it for its effect.
// The -rapid.seed flag on the command line goes before it.
package fixedseed

import (
	"flag"
	"fmt"

	// Its flags must be defined before they are set here.
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
