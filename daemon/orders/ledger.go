package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const ledgerPrefix = "fleet/"

// pendingStart is a start that was decided on. It stands in the ledger before the cloud
// is asked and until the VM shows in the list or the cloud refuses.
type pendingStart struct {
	Token string     `json:"token"`
	Pool  fleet.Pool `json:"pool"`
	// VM is the cloud's answer; empty until it is known.
	VM string `json:"vm,omitempty"`
}

// stop is a graceful stop in progress. Its grace is not written down: a new
// holder can't know whether the last one announced the stop before it died, and
// gives the whole grace again.
type stop struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// ledgerState is the value in the key-value service.
type ledgerState struct {
	// Holder is the fencing token of the tenure that wrote last.
	Holder        uint64         `json:"holder"`
	PendingStarts []pendingStart `json:"slots,omitempty"`
	Stops         []stop         `json:"stops,omitempty"`
}

// ledger is the holder's copy. Every change is a compare-and-swap against the
// revision that the copy was read at. A new holder's first act is such a write,
// so a paused predecessor's next write fails and it starts or stops nothing.
type ledger struct {
	store    kv.Store
	key      string
	state    ledgerState
	revision kv.Revision
	// saved is the value at revision.
	saved []byte
}

// LedgerLostError says that another holder has written the ledger, or that it
// is not known whether a write took effect; it must be read again.
type LedgerLostError struct{ Err error }

func (e *LedgerLostError) Error() string { return fmt.Sprintf("ledger lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LedgerLostError) Unwrap() error { return e.Err }

// openLedger reads the ledger and claims it for a tenure.
func openLedger(ctx context.Context, store kv.Store, service string, fencingToken uint64) (*ledger, error) {
	l := &ledger{store: store, key: ledgerPrefix + service}
	entry, err := store.Get(ctx, l.key)
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	l.revision = entry.Revision
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &l.state); err != nil {
			return nil, fmt.Errorf("ledger of %s: %w", service, err)
		}
	}
	if l.state.Holder > fencingToken {
		return nil, &LedgerLostError{Err: &NotHeldError{Responsibility: l.key}}
	}
	l.state.Holder = fencingToken
	return l, l.save(ctx)
}

// save writes the ledger if it has changed.
func (l *ledger) save(ctx context.Context) error {
	data, err := json.Marshal(l.state)
	if err != nil {
		return fmt.Errorf("marshal ledger: %w", err)
	}
	if bytes.Equal(data, l.saved) {
		return nil
	}
	revision, err := l.store.CompareAndSwap(ctx, l.key, l.revision, data, 0)
	if err != nil {
		return &LedgerLostError{Err: err}
	}
	l.revision = revision
	l.saved = data
	return nil
}

func (l *ledger) addPendingStarts(starts []fleet.Start) {
	for i, s := range starts {
		// Unique for all time: a revision is never given twice, and the ledger
		// is saved at a new one before the next slots are added.
		token := fmt.Sprintf("%s/%d/%d", l.key, l.revision, i)
		l.state.PendingStarts = append(l.state.PendingStarts, pendingStart{Token: token, Pool: s.Pool})
	}
}

func (l *ledger) removePendingStarts(tokens []string) {
	l.state.PendingStarts = slices.DeleteFunc(l.state.PendingStarts, func(s pendingStart) bool { return slices.Contains(tokens, s.Token) })
}

func (l *ledger) empty() bool { return len(l.state.PendingStarts) == 0 && len(l.state.Stops) == 0 }

func (l *ledger) isStopping(vm string) bool {
	return slices.ContainsFunc(l.state.Stops, func(s stop) bool { return s.VM == vm })
}
