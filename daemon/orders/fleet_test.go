package orders_test

import (
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	standin "geraniumstack.org/geraniumstack/standin/cloudapi"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const fleetResponsibility = "fleet/chat"

// expectVMCount checks that the number of VMs never exceeds n, and that it is n at
// the end of the given time.
func (w *cluster) expectVMCount(n int, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		w.True(len(w.runningVMs()) <= n) // no excess VM
	}
	w.Equal(len(w.runningVMs()), n)
}

// The cloud starts VMs and its responses are lost. If the holder repeated the
// calls with new tokens, each lost response would cause a second, unneeded VM.
func TestStartResponseLost(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(w *cluster) {
		w.cloud.SetFaults(standin.Faults{LoseAnswers: 3})
		w.expectVMCount(4, 2*time.Minute)
		w.Equal(w.cloud.Faults().LoseAnswers, 0)
	})
}

// The holder crashes directly before or after the cloud has started a VM, when the
// ledger has the start but no answer. The cloud's list doesn't show the VM yet.
// The next holder must repeat the same start instead of starting another VM.
func TestHolderDiesDuringStart(t *testing.T) {
	for _, call := range []string{"start", "started"} {
		withClusterAndListLag(t, baseManifest(4, true), lease.DefaultTiming(), longLag, func(w *cluster) {
			w.waitUntil(time.Second, "a holder", func() bool { return len(w.heldLeases()) == 2 && w.holder(fleetResponsibility) != nil })
			first := w.holder(fleetResponsibility)
			first.beforeNext(call, first.kill)
			w.expectVMCount(4, 2*time.Minute)
			w.True(w.holder(fleetResponsibility) != first)
		})
	}
}

// The holder is paused directly before it calls the cloud to start a VM, and
// resumes after another daemon has taken over and repeated the start from the
// ledger. The late call must not start another VM.
func TestHolderPausedBeforeStart(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(w *cluster) {
		w.waitUntil(time.Second, "a holder", func() bool { return len(w.heldLeases()) == 2 && w.holder(fleetResponsibility) != nil })
		first := w.holder(fleetResponsibility)
		first.beforeNext("start", first.pause)
		time.Sleep(time.Minute)
		w.Equal(len(w.runningVMs()), 4)
		first.resume()
		w.expectVMCount(4, 2*time.Minute)
	})
}

// A VM ends after the cloud has started it and before the holder has recorded the
// cloud's answer. The cloud can no longer return a VM for the start's token. If
// the holder repeated the start forever, the service would get no replacement.
func TestVMGoneBeforeStartResponseIsKnown(t *testing.T) {
	withCluster(t, baseManifest(2, true), lease.DefaultTiming(), func(w *cluster) {
		w.cloud.SetFaults(standin.Faults{LoseAnswers: 1})
		w.waitUntil(3*time.Second, "a VM", func() bool { return len(w.runningVMs()) > 0 && w.cloud.Faults().LoseAnswers == 0 })
		for _, vm := range w.runningVMs() {
			w.cloud.Kill(vm.ID)
		}
		w.waitSettled(2, "1")
		w.Equal(len(w.runningVMs()), 2)
	})
}

// The cloud reclaims all VMs of a failure domain and then refuses to start
// reclaimable VMs there. Replacements must be started in other pools within
// seconds.
func TestRefusedStartsDuringReclaimWave(t *testing.T) {
	m := baseManifest(4, true)
	m.Fleet.SurviveDomainLoss = true
	withCluster(t, m, lease.DefaultTiming(), func(w *cluster) {
		w.waitSettled(8, "1")
		lost := len(w.cloud.ReclaimDomain("a", 30*time.Second))
		w.True(lost > 0)
		w.waitUntil(10*time.Second, "replacements", func() bool { return w.runningOutside("a") >= 4 && w.runningOutside("b") >= 4 })
		w.True(w.counter("fleet.start_refused") > 0)
		w.True(w.counter("fleet.start_refused") <= 2*int64(lost)) // the pool is not tried again for a while
	})
}

// runningOutside returns the number of running VMs outside a failure domain.
func (w *cluster) runningOutside(lost ident.FailureDomain) int {
	n := 0
	for _, vm := range w.runningVMs() {
		if vm.FailureDomain != lost {
			n++
		}
	}
	return n
}

// An operator reduces the number of runners. Work in progress must not be lost:
// each VM must be announced as leaving to all daemons at least its whole grace
// period before it is stopped.
func TestPlannedStopIsGraceful(t *testing.T) {
	withCluster(t, baseManifest(6, true), lease.DefaultTiming(), func(w *cluster) {
		w.waitSettled(6, "1")
		w.setRunners(2)
		w.waitUntil(10*time.Minute, "stops", func() bool { return len(w.runningVMs()) == 2 })
		w.expectGracefulStops(4)
	})
}

func (w *cluster) setRunners(n int) {
	w.updateManifest(func(m *manifest.Manifest) { m.Services[0].Runners = n })
}

func (w *cluster) expectGracefulStops(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Equal(len(w.removed), n)
	for id, at := range w.removed {
		announced, ok := w.announced[id]
		w.True(ok)
		w.True(at.Sub(announced) >= stopGrace)
	}
}

// The holder has written planned stops to the ledger and crashes before it has
// announced them. Its successor takes over when the grace period would have ended
// and must still give the VMs the whole grace period.
func TestHolderDiesBeforeAnnouncingStop(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(w *cluster) {
		w.waitSettled(4, "1")
		first := w.holder(fleetResponsibility)
		// The next write to the key-value service is that of the ledger with the stops.
		first.beforeNext("swapped", first.kill)
		w.setRunners(2)
		w.waitUntil(10*time.Minute, "stops", func() bool { return len(w.runningVMs()) == 2 })
		w.expectGracefulStops(2)
		w.True(w.holder(fleetResponsibility) != first)
	})
}

// Two services share a cost limit. If each were planned with the whole limit, they
// would together spend twice the limit.
func TestServicesShareCostBound(t *testing.T) {
	m := baseManifest(6, true)
	m.Services = append(m.Services, manifest.Service{Name: "plain", Kind: manifest.KindPlain, Runners: 2})
	m.Fleet.MaxCostPerHour = 4
	withCluster(t, m, lease.DefaultTiming(), func(w *cluster) {
		time.Sleep(time.Minute)
		count := map[string]int{}
		for _, vm := range w.runningVMs() {
			count[vm.Service]++
		}
		w.Equal(count, map[string]int{service: 3, "plain": 1})
	})
}
