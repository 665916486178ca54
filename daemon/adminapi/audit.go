package adminapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	auditPrefix = "audit/"
	// maxAuditRecords bounds the records in the key-value service.
	maxAuditRecords = 10000
	// meanRecordsBetweenTrims is the mean number of records between two trimmings.
	meanRecordsBetweenTrims = 200
	auditPageSize           = 500
	auditTimeout            = 2 * time.Second
)

// Record is one change that was asked for over the interface.
type Record struct {
	UnixMillis int64  `json:"unix_ms"`
	Operator   string `json:"operator"`
	Action     string `json:"action"`
	Detail     string `json:"detail"`
	// Failure is empty if it was done.
	Failure string `json:"failure,omitempty"`
}

// audit keeps records in the log and, newest first, in the key-value service.
type audit struct{ store kv.Store }

// auditKey sorts later records before earlier ones.
func auditKey(unixMillis int64, random uint64) string {
	var suffix [8]byte
	for i := range suffix {
		suffix[i] = byte(random >> (8 * i))
	}
	return fmt.Sprintf("%s%020d-%s", auditPrefix, math.MaxInt64-unixMillis, hex.EncodeToString(suffix[:]))
}

// record writes one record. The log has it in any case; in an outage of the
// key-value service it is there only.
func (a *audit) record(ctx context.Context, r Record) {
	klog.InfoS("Audit", "operator", r.Operator, "action", r.Action, "detail", r.Detail, "failure", r.Failure)
	// The caller may be gone by now; what it changed is recorded all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(err, "Audit record can't be encoded")
		return
	}
	if _, err := a.store.CompareAndSwap(ctx, auditKey(r.UnixMillis, rand.Uint64()), 0, value, 0); err != nil {
		klog.ErrorS(err, "Audit record is in this log only")
		return
	}
	if rand.N(meanRecordsBetweenTrims) == 0 {
		a.trim(ctx)
	}
}

// list returns the newest records.
func (a *audit) list(ctx context.Context, limit int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	entries, err := a.store.List(ctx, auditPrefix, "", limit)
	if err != nil {
		return nil, fmt.Errorf("list audit records: %w", err)
	}
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		var r Record
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			return nil, fmt.Errorf("audit record %s: %w", entry.Key, err)
		}
		records = append(records, r)
	}
	return records, nil
}

// trim deletes the records after the newest auditKept.
func (a *audit) trim(ctx context.Context) {
	after := ""
	for count := 0; ; {
		page, err := a.store.List(ctx, auditPrefix, after, auditPageSize)
		if err != nil || len(page) == 0 {
			return
		}
		for _, entry := range page {
			count++
			after = entry.Key
			if count <= maxAuditRecords {
				continue
			}
			if err := a.store.Delete(ctx, entry.Key, entry.Revision); err != nil {
				klog.V(1).InfoS("Audit record not trimmed", "key", entry.Key, "err", err)
				return
			}
		}
	}
}
