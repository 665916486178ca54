// Command geraniumctl is the command-line tool for operators.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"path"
	"syscall"

	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/ctl"
)

func main() {
	flags := flag.NewFlagSet(path.Base(os.Args[0]), flag.ExitOnError)
	commander := subcommands.NewCommander(flags, flags.Name())
	ctl.Register(commander, os.Stdout, os.Stderr)
	// With ExitOnError, Parse exits the process on an invalid flag.
	_ = flags.Parse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}
