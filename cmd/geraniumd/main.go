// Command geraniumd is the daemon of one entry VM. With -settings it serves the
// product's own API. Without -settings, and with the path of the platform's
// settings in the environment, it serves on the users' platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/internal/startsignals"
	"geraniumstack.org/geraniumstack/platform"
	"geraniumstack.org/geraniumstack/state/document"
)

// Exit statuses of the process.
const (
	exitFailure = 1
	exitInvalid = 2
)

func main() { os.Exit(run()) }

func run() int {
	klog.InitFlags(nil)
	path := flag.String("settings", "", "the settings file (JSON)")
	disabled := flag.String("without", "", "mechanisms to leave out on the users' platform, separated by commas, to measure what they are worth")
	directFleet := flag.Int("direct-fleet", relays.DirectFleet, "daemons up to which all of a fleet on the users' platform tell each other directly; the same for all of them")
	spilloverWait := flag.Float64("spillover-wait-ms-per-mb", 0, "milliseconds of waiting that a megabyte between failure domains is worth on the users' platform, if the settings don't say; 0: unknown, the same for all daemons of a fleet")
	flag.Parse()
	if platformSettings := os.Getenv(platform.SettingsEnv); *path == "" && platformSettings != "" {
		return runOnPlatform(platformSettings, *disabled, *directFleet, *spilloverWait)
	}
	defer klog.Flush()
	s, err := settings.Load(*path)
	if err != nil {
		return reportSettingsError(err)
	}
	d, err := daemon.New(s, daemon.TCP{})
	if err != nil {
		klog.ErrorS(err, "Starting the daemon failed")
		return exitFailure
	}
	// There is nothing to reload.
	signal.Reset(syscall.SIGHUP)
	if err := d.Run(untilStop()); err != nil {
		klog.ErrorS(err, "Daemon failed")
		return exitFailure
	}
	return 0
}

// untilStop returns a context that ends with SIGTERM or an interrupt.
func untilStop() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-startsignals.Stop
		cancel()
	}()
	return ctx
}

// runOnPlatform serves on the users' platform until SIGTERM or an interrupt. It
// writes the log to standard output.
func runOnPlatform(path, disabled string, directFleet int, spilloverWait float64) int {
	policy, err := edge.Without(disabled)
	if err == nil {
		policy, err = policy.WithDirectFleet(directFleet)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	price, ok := platform.SpilloverPrice(spilloverWait)
	if !ok {
		fmt.Fprintln(os.Stderr, "invalid -spillover-wait-ms-per-mb:", spilloverWait)
		return exitInvalid
	}
	reportCrashes()
	// Without this the daemon would end with the process that reads its log.
	signal.Ignore(syscall.SIGPIPE)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
	}
	err = platform.Run(path, platform.Signals{Stop: startsignals.Stop, Reload: startsignals.Reload}, platform.Flags{Policy: policy, Spillover: price})
	if err == nil {
		return 0
	}
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		return reportSettingsError(err)
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}

// reportCrashes lets the runtime report a crash on standard output, too, where operators find the log.
func reportCrashes() {
	if err := debug.SetCrashOutput(os.Stdout, debug.CrashOptions{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// reportSettingsError prints every problem of the settings with its path and
// returns the exit status.
func reportSettingsError(err error) int {
	var invalid *document.InvalidError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	for _, p := range invalid.Problems {
		path := p.Path
		if path == "" {
			path = "/"
		}
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, p.Reason)
	}
	return exitInvalid
}
