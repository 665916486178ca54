// Command standins runs stand-ins for the platform and the runners: the
// key-value service, the cloud API with the VM list, the weight store, model
// engines and plain services. It is intended for tests and trials only. It
// prints one line of JSON with the base URLs of the platform's services, under
// the names used in a daemon's settings, and runs until SIGTERM or an
// interrupt.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/standin/fleet"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Exit statuses of the process.
const (
	exitFailure = 1
	exitInvalid = 2
)

// Names of the built-in sets of stand-ins.
const (
	setHuaman      = "huaman"
	setAspenCoulee = "aspen-coulee"
)

// UnknownSetError reports that there is no built-in set with the given name.
type UnknownSetError struct{ Name string }

func (e *UnknownSetError) Error() string { return fmt.Sprintf("unknown set %q", e.Name) }

func main() { os.Exit(run()) }

func run() int {
	klog.InitFlags(nil)
	path := flag.String("settings", "", "the settings file (JSON); overrides -set")
	manifestPath := flag.String("manifest", "", "run what this manifest asks for; overrides -set")
	set := flag.String("set", setHuaman, "a built-in set: "+setHuaman+" or "+setAspenCoulee)
	flag.Parse()
	defer klog.Flush()
	s, err := load(*path, *manifestPath, *set)
	if err != nil {
		reportSettingsError(err)
		return exitInvalid
	}
	f, err := fleet.Start(s, fleet.Options{})
	if err != nil {
		klog.ErrorS(err, "Starting the stand-ins failed")
		return exitFailure
	}
	defer f.Close()
	if err := json.NewEncoder(os.Stdout).Encode(f.Addresses()); err != nil {
		klog.ErrorS(err, "Printing the addresses failed")
		return exitFailure
	}
	klog.InfoS("Stand-ins started", "runners", len(f.Runners()), "keyValue", f.Addresses().KeyValue)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	klog.InfoS("Stand-ins stopped")
	return 0
}

func load(path, manifestPath, set string) (fleet.Settings, error) {
	switch {
	case path != "":
		return fleet.Load(path)
	case manifestPath != "":
		return fromManifest(manifestPath)
	case set == setHuaman:
		return fleet.Huaman()
	case set == setAspenCoulee:
		return fleet.AspenCoulee()
	default:
		return fleet.Settings{}, &UnknownSetError{Name: set}
	}
}

func fromManifest(path string) (fleet.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Settings{}, fmt.Errorf("read manifest: %w", err)
	}
	var m manifest.Manifest
	if err := document.Decode(data, &m); err != nil {
		return fleet.Settings{}, fmt.Errorf("manifest: %w", err)
	}
	return fleet.FromManifest(&m), nil
}

// reportSettingsError prints every problem of the settings with its path.
func reportSettingsError(err error) {
	var invalid *document.InvalidError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	for _, p := range invalid.Problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", p.Path, p.Reason)
	}
}
