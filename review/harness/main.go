// Command harness plays the scripted cases of a review. It starts the project's daemon as separate processes, on
// loopback addresses, before stand-ins for the platform, the runners and the callers, and writes to a record what was
// sent, answered and run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses, as the cases define them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case; it counts as not run if it takes longer.
const maxCaseTime = 115 * time.Second

// playFunc plays a case and returns the breaches of the rule that it saw.
type playFunc func(w *world, trouble bool) (breaches []string, err error)

var cases = map[string]playFunc{
	"usage-after-copy": playUsageAfterCopy,
	"crashing-part":    playCrashingPart,
	"split-header":     playSplitHeader,
	"failed-503":       playFailed503,
	"reclaimed-stream": playReclaimedStream,
	"late-extra":       playLateExtra,
	"quiet-rollout":    playQuietRollout,
	"brittle":          playBrittle,
	"upgraded-runner":  playUpgradedRunner,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file that the record is written to")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", *name, trouble)
	w, err := newWorld(rec)
	if err != nil {
		rec.note("not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	breaches, err := playInTime(play, w, trouble)
	if err != nil {
		rec.note("not run: %v", err)
		return exitNotRun
	}
	for _, b := range breaches {
		rec.note("BROKEN: %s", b)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	rec.note("held")
	return exitHeld
}

var errTooLong = errors.New("the case took too long")

func playInTime(play playFunc, w *world, trouble bool) ([]string, error) {
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		breaches, err := play(w, trouble)
		done <- result{breaches, err}
	}()
	select {
	case r := <-done:
		return r.breaches, r.err
	case <-time.After(maxCaseTime):
		return nil, errTooLong
	}
}
