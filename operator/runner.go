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

// storeTimeout bounds one call to the store, which responds in milliseconds when it is well.
const storeTimeout = 3 * time.Second

// Runner carries out the effects of a machine.
type Runner struct {
	Store platform.Store
	// Source is where the tables are; the zero value is that of rosemaryhatchctl.
	Source platform.Source
	// Sleep pauses until the duration is over or the context ends; nil means a timer.
	Sleep func(context.Context, time.Duration)
}

// Run drives a machine to its end.
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
	case AskNodes:
		answers := AskAll(ctx, effect.Addresses, effect.Discover)
		return NodesAsked{Answers: answers, Elapsed: time.Since(started)}
	case Pause:
		r.sleep(ctx, effect.Duration)
		return Paused{Elapsed: time.Since(started), Interrupted: ctx.Err() != nil}
	}
	panic(fmt.Sprintf("operator: effect %T has no runner", effect))
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

// NewEditID returns a random edit id.
func NewEditID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, by its documentation
	return hex.EncodeToString(id[:])
}

// source returns where the tables are.
func (r *Runner) source() platform.Source {
	if r.Source.Key == "" {
		return platform.OwnSource()
	}
	return r.Source
}

// owned says why the tables cannot be written, or returns nothing.
func (r *Runner) owned() string {
	source := r.source()
	if source.Owner == "" {
		return ""
	}
	return fmt.Sprintf("the tables are owned by %s, who writes the key %q; nothing was changed", source.Owner, source.Key)
}

// Apply checks both tables and writes them as a new version.
func (r *Runner) Apply(ctx context.Context, request Request, routesFile, poolsFile string) Result {
	if owned := r.owned(); owned != "" {
		return Result{Outcome: Failed, Problem: owned}
	}
	if problems := CheckTables(request.Routes, request.Pools, routesFile, poolsFile); len(problems) > 0 {
		return Result{Outcome: Invalid, Problem: joinLines(problems)}
	}
	return r.Run(ctx, NewEdit(request))
}

// Rollback writes a new version with the tables of an old one. Only the check of the nodes applies, so that
// every version that was active can be active again.
func (r *Runner) Rollback(ctx context.Context, version uint64, request Request) Result {
	if owned := r.owned(); owned != "" {
		return Result{Outcome: Failed, Problem: owned}
	}
	old, err := r.Fetch(ctx, version)
	if err != nil {
		return Result{Outcome: Failed, Problem: err.Error()}
	}
	request.Routes, request.Pools, request.ExpectHighest = old.Routes, old.Pools, true
	name := historyKey(version)
	if problems := checkStored(request.Routes, request.Pools, name+" routes", name+" pools"); len(problems) > 0 {
		return Result{Outcome: Invalid, Problem: joinLines(problems)}
	}
	return r.Run(ctx, NewEdit(request))
}

// Current returns the version in the store. The document has version 0 when the store is empty.
func (r *Runner) Current(ctx context.Context) (tables.Document, error) {
	source := r.source()
	if source.Owner == "" {
		document, _, err := r.read(ctx, platform.KeyConfig)
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

// Fetch returns a version from the store or its history.
func (r *Runner) Fetch(ctx context.Context, version uint64) (tables.Document, error) {
	current, err := r.Current(ctx)
	if err != nil || (current.Version == version && version > 0) {
		return current, err
	}
	document, found, err := r.read(ctx, historyKey(version))
	if err == nil && !found {
		err = oops.In("operator").With("version", version).
			Errorf("version %d is not in the store, expected the key %q", version, historyKey(version))
	}
	return document, err
}

func (r *Runner) read(ctx context.Context, key string) (tables.Document, bool, error) {
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
