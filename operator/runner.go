package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// storeTimeout bounds one call to the store, which responds in milliseconds when it is healthy.
const storeTimeout = 3 * time.Second

// Runner executes commands: it performs the effects of machines and reads documents from the store.
type Runner struct {
	Store platform.Store
	// Source is the key of the store that holds the tables and its decoder. The zero value stands for
	// platform.OwnSource, the tables that rosemaryhatchctl writes.
	Source platform.Source
	// Sleep waits until the duration has passed or the context ends. If it is nil, a timer is used.
	Sleep func(context.Context, time.Duration)
}

// Run starts a machine and performs its effects until it finishes. It returns the result of the machine and panics when
// the machine stops without one.
func (r *Runner) Run(ctx context.Context, machine Machine) Result {
	started := time.Now()
	effects := machine.Reduce(Started{})
	for len(effects) > 0 {
		effect := effects[0]
		if finish, ok := effect.(Finish); ok {
			return finish.Result
		}
		event := r.perform(ctx, effect, started)
		effects = append(effects[1:], machine.Reduce(event)...)
	}
	panic("operator: machine ended without a result")
}

func (r *Runner) perform(ctx context.Context, effect Effect, started time.Time) Event {
	switch effect := effect.(type) {
	case ReadKey:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		entry, err := r.Store.Get(ctx, effect.Key)
		return KeyRead{Entry: entry, Err: err}
	case Swap:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		outcome, entry, err := r.Store.CompareAndSwap(ctx, effect.Key, effect.Revision, effect.Value)
		return Swapped{Outcome: outcome, Entry: entry, Err: err}
	case QueryNodes:
		answers := QueryStatuses(ctx, effect.Addresses, effect.Discover)
		return NodesQueried{Answers: answers, Elapsed: time.Since(started)}
	case Pause:
		r.sleep(ctx, effect.Duration)
		return Paused{Elapsed: time.Since(started), Interrupted: ctx.Err() != nil}
	}
	panic(fmt.Sprintf("operator: effect %T cannot be performed", effect))
}

func (r *Runner) sleep(ctx context.Context, d time.Duration) {
	if r.Sleep != nil {
		r.Sleep(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// NewEditID returns a random edit id: 128 bits in hexadecimal.
func NewEditID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // documented never to return an error
	return hex.EncodeToString(id[:])
}

func (r *Runner) source() platform.Source {
	if r.Source.Key == "" {
		return platform.OwnSource()
	}
	return r.Source
}

// ownershipProblem returns why rosemaryhatchctl must not write the tables, or "" when it may.
func (r *Runner) ownershipProblem() string {
	source := r.source()
	if source.Owner == "" {
		return ""
	}
	return fmt.Sprintf("the tables are owned by %s, who writes the key %q; nothing was changed", source.Owner, source.Key)
}

// Apply checks both tables and writes them as a new version. The file names are for the lines that describe faults.
func (r *Runner) Apply(ctx context.Context, request EditRequest, routesFile, poolsFile string) Result {
	if problem := r.ownershipProblem(); problem != "" {
		return Result{Outcome: Failed, Problem: problem}
	}
	if problems := CheckTables(request.Routes, request.Pools, routesFile, poolsFile); len(problems) > 0 {
		return Result{Outcome: Invalid, Problem: joinLines(problems)}
	}
	return r.Run(ctx, NewEdit(request))
}

// Rollback writes a new version with the tables of an old one. The tables need to pass only the check of the nodes, not
// the stricter one of CheckTables, so that every version that was once active can be made active again.
func (r *Runner) Rollback(ctx context.Context, version uint64, request EditRequest) Result {
	if problem := r.ownershipProblem(); problem != "" {
		return Result{Outcome: Failed, Problem: problem}
	}
	old, err := r.FetchVersion(ctx, version)
	if err != nil {
		return Result{Outcome: Failed, Problem: err.Error()}
	}
	request.Routes, request.Pools, request.ExpectHighest = old.Routes, old.Pools, true
	name := historyKey(version)
	if problems := checkAsNode(request.Routes, request.Pools, name+" routes", name+" pools"); len(problems) > 0 {
		return Result{Outcome: Invalid, Problem: joinLines(problems)}
	}
	return r.Run(ctx, NewEdit(request))
}

// FetchCurrent returns the current version in the store. The document has version 0 when the store is empty.
func (r *Runner) FetchCurrent(ctx context.Context) (tables.Document, error) {
	source := r.source()
	if source.Owner == "" {
		document, _, err := r.readDocument(ctx, platform.KeyConfig)
		return document, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, source.Key)
	if err != nil || entry.Revision == 0 {
		return tables.Document{}, err
	}
	return source.Decode(entry.Value)
}

// FetchVersion returns the version with the given number, from the store's current document or the history. A version
// that is in neither is an error.
func (r *Runner) FetchVersion(ctx context.Context, version uint64) (tables.Document, error) {
	current, err := r.FetchCurrent(ctx)
	if err != nil || (current.Version == version && version > 0) {
		return current, err
	}
	document, found, err := r.readDocument(ctx, historyKey(version))
	if err == nil && !found {
		err = oops.In("operator").With("version", version).
			Errorf("version %d is not in the store, expected the key %q", version, historyKey(version))
	}
	return document, err
}

// readDocument returns false when the store does not have the key.
func (r *Runner) readDocument(ctx context.Context, key string) (tables.Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, key)
	if err != nil {
		return tables.Document{}, false, oops.In("operator").With("key", key).Wrapf(err, "store key %q cannot be read", key)
	}
	if entry.Revision == 0 {
		return tables.Document{}, false, nil
	}
	document, err := decodeDocument(key, entry)
	return document, err == nil, err
}
