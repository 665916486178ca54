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
	// maxAuditRecords bounds the number of records in the key-value service.
	maxAuditRecords = 10000
	// meanRecordsBetweenTrims is the mean number of records written between two
	// trims.
	meanRecordsBetweenTrims = 200
	auditPageSize           = 500
	auditTimeout            = 2 * time.Second
)

// Record is the audit record of one change requested through the admin API.
type Record struct {
	UnixMillis int64  `json:"unix_ms"`
	Operator   string `json:"operator"`
	Action     string `json:"action"`
	Detail     string `json:"detail"`
	// Failure is the error text; it is empty if the change succeeded.
	Failure string `json:"failure,omitempty"`
}

// audit writes records to the log and to the key-value service, where they are
// sorted newest first.
type audit struct{ store kv.Store }

// auditKey returns a key that sorts later records before earlier ones.
func auditKey(unixMillis int64, random uint64) string {
	var suffix [8]byte
	for i := range suffix {
		suffix[i] = byte(random >> (8 * i))
	}
	return fmt.Sprintf("%s%020d-%s", auditPrefix, math.MaxInt64-unixMillis, hex.EncodeToString(suffix[:]))
}

// record writes one record. During an outage of the key-value service, the
// record appears only in the log.
func (a *audit) record(ctx context.Context, r Record) {
	klog.InfoS("Audit", "operator", r.Operator, "action", r.Action, "detail", r.Detail, "failure", r.Failure)
	// The record is written even if the caller has disconnected, because its
	// change may have taken effect.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(err, "Encoding the audit record failed")
		return
	}
	if _, err := a.store.CompareAndSwap(ctx, auditKey(r.UnixMillis, rand.Uint64()), 0, value, 0); err != nil {
		klog.ErrorS(err, "Writing the audit record to the key-value service failed; it is only in this log")
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

// trim deletes all but the newest maxAuditRecords records.
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
				klog.V(1).InfoS("Deleting an old audit record failed", "key", entry.Key, "err", err)
				return
			}
		}
	}
}
