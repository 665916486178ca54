package ctl

import (
	"flag"
	"fmt"
	"io"
	"os"
)

// UsageError reports invalid command-line arguments and what the command
// expects.
type UsageError struct{ Expected string }

func (e *UsageError) Error() string { return "usage: " + e.Expected }

// parseFlagsAfterArgument parses the flags that follow the first argument. It
// returns false if one of them is invalid or there is a second argument.
func parseFlagsAfterArgument(f *flag.FlagSet) bool {
	return f.Parse(f.Args()[1:]) == nil && f.NArg() == 0
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}
