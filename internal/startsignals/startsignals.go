// Package startsignals takes a daemon's signals as soon as its process can: one that arrives earlier ends it. The package
// depends on os/signal only, so it is initialized before the large packages, which takes most of the time of a start.
package startsignals

import (
	"os"
	"os/signal"
	"syscall"
)

// Stop receives SIGTERM and interrupts, Reload receives SIGHUP, from the initialization of this package on. Each holds
// one signal that hasn't been received.
var (
	Stop   = notify(syscall.SIGTERM, os.Interrupt)
	Reload = notify(syscall.SIGHUP)
)

func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}
