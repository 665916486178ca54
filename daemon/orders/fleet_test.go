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

// expectVMCount checks that the fleet reaches n VMs and never has more.
func (w *cluster) expectVMCount(n int, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		w.True(len(w.runningVMs()) <= n) // never a VM too many
	}
	w.Equal(len(w.runningVMs()), n)
}

// The cloud starts VMs and its answers are lost. If the holder asked anew, each
// lost answer would be a second VM that nobody wants and everybody pays.
func TestStartResponseLost(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(w *cluster) {
		w.cloud.SetFaults(standin.Faults{LoseAnswers: 3})
		w.expectVMCount(4, 2*time.Minute)
		w.Equal(w.cloud.Faults().LoseAnswers, 0)
	})
}

// The holder dies right before or after the cloud has started a VM, with the
// start in the ledger and no answer. The next holder, whose list does not show
// the VM yet, must repeat the start, not begin another.
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

// The holder is paused right before it asks the cloud for a VM, and wakes when
// another has taken over and repeated the start from the ledger.
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

// A VM dies after the cloud has started it and before its answer was written
// down. Its token can't be answered any more; repeating it for ever would keep
// the service without a replacement.
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

// A wave reclaims a failure domain's VMs, and reclaimable starts are refused
// there just then. Replacements must come from elsewhere within seconds.
func TestRefusedStartsDuringReclaimWave(t *testing.T) {
	m := baseManifest(4, true)
	m.Fleet.SurviveDomainLoss = true
	withCluster(t, m, lease.DefaultTiming(), func(w *cluster) {
		w.waitSettled(8, "1")
		lost := len(w.cloud.ReclaimDomain("a", 30*time.Second))
		w.True(lost > 0)
		w.waitUntil(10*time.Second, "replacements", func() bool { return w.runningOutside("a") >= 4 && w.runningOutside("b") >= 4 })
		w.True(w.counter("fleet.start_refused") > 0)
		w.True(w.counter("fleet.start_refused") <= 2*int64(lost)) // the pool is left alone for a while
	})
}

// runningOutside counts the running VMs that the loss of a failure domain would leave.
func (w *cluster) runningOutside(lost ident.FailureDomain) int {
	n := 0
	for _, vm := range w.runningVMs() {
		if vm.FailureDomain != lost {
			n++
		}
	}
	return n
}

// An operator asks for fewer runners. Their work must end well: each VM that
// goes was announced as leaving to all daemons its whole grace before.
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

// The holder has written planned stops into the ledger and dies before it has
// announced them. Its successor comes when the grace would be over, and must
// give it all the same.
func TestHolderDiesBeforeAnnouncingStop(t *testing.T) {
	withCluster(t, baseManifest(4, true), lease.DefaultTiming(), func(w *cluster) {
		w.waitSettled(4, "1")
		first := w.holder(fleetResponsibility)
		// The ledger's next write is that of the stops.
		first.beforeNext("swapped", first.kill)
		w.setRunners(2)
		w.waitUntil(10*time.Minute, "stops", func() bool { return len(w.runningVMs()) == 2 })
		w.expectGracefulStops(2)
		w.True(w.holder(fleetResponsibility) != first)
	})
}

// Two services share a cost bound. Planned each for itself with the whole of
// it, they would spend it twice.
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
