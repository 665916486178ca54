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

// pendingStart is a planned start of a VM. It is written to the ledger before the
// cloud is called, and stays there until the VM is in the cloud's list or the
// cloud refuses the start.
type pendingStart struct {
	Token string     `json:"token"`
	Pool  fleet.Pool `json:"pool"`
	// VM is the ID of the started VM; it is empty until the cloud has answered.
	VM string `json:"vm,omitempty"`
}

// stop is a graceful stop in progress. The end of its grace period is not stored:
// a new holder can't know whether the previous one announced the stop before it
// crashed, and starts the whole grace period again.
type stop struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// ledgerState is the ledger's value in the key-value service, encoded as JSON.
type ledgerState struct {
	// Holder is the fencing token of the tenure that last wrote the ledger.
	Holder uint64 `json:"holder"`
	// PendingStarts are planned starts whose VMs aren't in the cloud's list yet.
	// The stored key is "slots" and must stay, because ledgers already stored use
	// it.
	PendingStarts []pendingStart `json:"slots,omitempty"`
	Stops         []stop         `json:"stops,omitempty"`
}

// ledger is the holder's copy of the record of pending starts and stops. Every
// change is a compare-and-swap against the copy's revision. A new holder writes
// the ledger before it does anything else, so that the next write of a paused
// predecessor fails and the predecessor starts or stops nothing.
type ledger struct {
	store    kv.Store
	key      string
	state    ledgerState
	revision kv.Revision
	// saved is the encoded value at revision.
	saved []byte
}

// LedgerLostError means that another holder has written the ledger, or that it is
// unknown whether a write took effect. The ledger must be read again.
type LedgerLostError struct{ Err error }

func (e *LedgerLostError) Error() string {
	return fmt.Sprintf("local copy of ledger may be out of date: %v", e.Err)
}

// Unwrap returns the cause.
func (e *LedgerLostError) Unwrap() error { return e.Err }

// openLedger reads the ledger and writes the tenure's fencing token to it.
func openLedger(ctx context.Context, store kv.Store, service string, fencingToken uint64) (*ledger, error) {
	l := &ledger{store: store, key: ledgerPrefix + service}
	entry, err := store.Get(ctx, l.key)
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	l.revision = entry.Revision
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &l.state); err != nil {
			return nil, fmt.Errorf("decode ledger of service %s: %w", service, err)
		}
	}
	if l.state.Holder > fencingToken {
		return nil, &LedgerLostError{Err: &NotHeldError{Responsibility: l.key}}
	}
	l.state.Holder = fencingToken
	return l, l.save(ctx)
}

// save writes the ledger to the key-value service if it has changed.
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
		// The token is unique: a revision is never reused, and the ledger is
		// saved at a new revision before further starts are added.
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
