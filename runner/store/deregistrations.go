package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// deregistration is the value of a record in the store. Earlier releases wrote At alone, as a number.
type deregistration struct {
	At     int64 `json:"at"`      // latest start of an incarnation that has deregistered, in Unix milliseconds
	LeftAt int64 `json:"left_at"` // when the record was written, in Unix milliseconds
}

func decodeDeregistration(entry platform.Entry) (deregistration, error) {
	var d deregistration
	if entry.Problem != "" {
		return d, fmt.Errorf("record of a deregistration: %s", entry.Problem)
	}
	if json.Unmarshal(entry.Value, &d.At) == nil {
		return d, nil
	}
	if err := json.Unmarshal(entry.Value, &d); err != nil {
		return d, fmt.Errorf("record of a deregistration: %w", err)
	}
	return d, nil
}

// maxRaises bounds the attempts to write a record that other writers change meanwhile.
const maxRaises = 3

// storeDeregistration writes a record unless the store has one that covers it. A write of an earlier life of the
// instance that the store carries out late finds another revision and changes nothing.
func (r *Runner) storeDeregistration(ctx context.Context, e reducer.StoreDeregistration) reducer.StoreResult {
	value, _ := json.Marshal(deregistration{At: e.At, LeftAt: e.LeftAt}) // cannot fail: its fields are numbers
	revision := uint64(0)
	for range maxRaises {
		outcome, entry, _ := r.store.CompareAndSwap(ctx, platform.KeyDeregistrationPrefix+e.Instance, revision, value) // the outcome suffices; the error only gives its cause
		if outcome != platform.NotApplied {
			return writeResult(outcome)
		}
		if held, err := decodeDeregistration(entry); err == nil && entry.Revision > 0 && held.At >= e.At {
			return reducer.StoreOK
		}
		revision = entry.Revision
	}
	return reducer.StoreConflict
}

// readDeregistration reads the record of a deregistration. The result is StoreAbsent if there is none, and
// StoreMalformed if it cannot be read.
func (r *Runner) readDeregistration(ctx context.Context, e reducer.ReadDeregistration) reducer.StoreAnswer {
	entry, err := r.store.Get(ctx, platform.KeyDeregistrationPrefix+e.Instance)
	read := reducer.DeregistrationRead{Instance: e.Instance, Result: errorResult(err)}
	if err != nil {
		return read
	}
	if entry.Revision == 0 {
		read.Result = reducer.StoreAbsent
		return read
	}
	record, err := decodeDeregistration(entry)
	if err != nil {
		read.Result = reducer.StoreMalformed
		return read
	}
	read.At = record.At
	return read
}

// listDeregistrations lists the records. It leaves out those of another writer that cannot be read, and those of
// earlier releases, which lie under a lease.
func (r *Runner) listDeregistrations(ctx context.Context) reducer.StoreAnswer {
	entries, err := r.store.List(ctx, platform.KeyDeregistrationPrefix)
	listed := reducer.DeregistrationsListed{Result: errorResult(err)}
	for _, entry := range entries {
		record, err := decodeDeregistration(entry)
		if err != nil || record.LeftAt == 0 {
			continue
		}
		instance := strings.TrimPrefix(entry.Key, platform.KeyDeregistrationPrefix)
		listed.Records = append(listed.Records, reducer.StoredDeregistration{Instance: instance, LeftAt: record.LeftAt, Revision: entry.Revision})
	}
	return listed
}

// removeDeregistrations removes records one by one, so that one that was written meanwhile does not keep the others.
func (r *Runner) removeDeregistrations(ctx context.Context, e reducer.RemoveDeregistrations) {
	for _, record := range e.Records {
		key := platform.KeyDeregistrationPrefix + record.Instance
		outcome, _, _ := r.store.Transact(ctx, []platform.Condition{{Key: key, Revision: record.Revision}}, []platform.Write{{Key: key, Remove: true}})
		if outcome == platform.Unknown {
			return // the next listing finds the rest
		}
	}
}
