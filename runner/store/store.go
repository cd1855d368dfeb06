// Package store carries out the effects that concern the platform's key-value store, each in its own goroutine and
// with a timeout. It does not retry: the reducer decides how to proceed after a failed call.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	callTimeout = time.Second
	// watchWait is how long the platform is asked to wait for a change before it answers a watch. The platform allows 30 s;
	// a connection that went silent meanwhile is found by TCP keepalive.
	watchWait = 25 * time.Second
	// watchMargin is the time beyond watchWait after which a watch without a response times out.
	watchMargin = 2 * time.Second
)

// Runner carries out the effects that concern the platform's store.
type Runner struct {
	store      platform.Store
	source     platform.Source
	rollouts   platform.Rollouts
	post       func(reducer.Input) bool
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// endWatch cancels the latest watch of the tables. Only Perform uses it.
	endWatch context.CancelFunc
}

// New returns a runner that passes the results to post, as events.
func New(store platform.Store, source platform.Source, rollouts platform.Rollouts, post func(reducer.Input) bool) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{store: store, source: source, rollouts: rollouts, post: post, ctx: ctx, cancel: cancel, endWatch: func() {}}
}

// Close cancels the calls in flight and waits for their goroutines.
func (r *Runner) Close() {
	r.cancel()
	r.goroutines.Wait()
}

// Perform starts to carry out an effect and returns without waiting for the result. It returns false, and does
// nothing, if the effect does not concern the platform's store.
func (r *Runner) Perform(effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.ReadStore:
		r.run(callTimeout, r.readDocument)
	case reducer.WatchStore:
		r.watch(e)
	case reducer.EndWatch:
		r.endWatch()
	case reducer.GrantLease:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer {
			lease, err := r.store.GrantLease(ctx, e.TTL)
			return reducer.LeaseGranted{Result: errorResult(err), Lease: uint64(lease)}
		})
	case reducer.RenewLease:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer {
			outcome, _ := r.store.RenewLease(ctx, platform.LeaseID(e.Lease)) // the outcome suffices; the error only gives its cause
			return reducer.LeaseRenewed{Result: writeResult(outcome), Lease: e.Lease}
		})
	case reducer.AnnounceNode:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer { return r.announceNode(ctx, e) })
	case reducer.EndLease:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer {
			_ = r.store.EndLease(ctx, platform.LeaseID(e.Lease)) // if this fails, the lease expires
			return nil
		})
	case reducer.StoreDeregistration:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer {
			return reducer.DeregistrationStored{Exchange: e.Exchange, Instance: e.Instance, At: e.At, Result: r.storeDeregistration(ctx, e)}
		})
	case reducer.ReadDeregistration:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer { return r.readDeregistration(ctx, e) })
	case reducer.ListDeregistrations:
		r.run(callTimeout, r.listDeregistrations)
	case reducer.RemoveDeregistrations:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer {
			r.removeDeregistrations(ctx, e)
			return nil
		})
	case reducer.ListNodes:
		r.run(callTimeout, r.listNodes)
	default:
		return r.performRollout(effect)
	}
	return true
}

// run makes a call in a new goroutine, with the given timeout, and posts the result unless it is nil.
func (r *Runner) run(timeout time.Duration, call func(context.Context) reducer.StoreAnswer) {
	r.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		if result, ok := inEra(ctx, call); ok {
			r.post(result)
		}
	})
}

// inEra makes a call and returns its result with the era that its answers state. It returns false if the call has no result.
func inEra(ctx context.Context, call func(context.Context) reducer.StoreAnswer) (reducer.StoreAnswered, bool) {
	var result reducer.StoreAnswered
	ctx = platform.WithEraObserver(ctx, func(era uint64) { // a call takes its steps one after the other
		result.Mixed = result.Mixed || result.Era != 0 && result.Era != era
		result.Era = max(result.Era, era)
	})
	result.Answer = call(ctx)
	return result, result.Answer != nil
}

func (r *Runner) readDocument(ctx context.Context) reducer.StoreAnswer {
	entry, err := r.store.Get(ctx, r.source.Key)
	if err != nil {
		return reducer.StoreRead{Result: reducer.StoreUnknown}
	}
	return r.readResult(entry)
}

// watch starts a watch of the tables and ends the one before it, whose result is not posted.
func (r *Runner) watch(e reducer.WatchStore) {
	r.endWatch()
	watch, end := context.WithCancel(r.ctx)
	r.endWatch = end
	r.goroutines.Go(func() {
		defer end()
		ctx, cancel := context.WithTimeout(watch, watchWait+watchMargin)
		defer cancel()
		result, _ := inEra(ctx, func(ctx context.Context) reducer.StoreAnswer { return r.watchDocument(ctx, e) })
		if watch.Err() == nil {
			r.post(result)
		}
	})
}

func (r *Runner) watchDocument(ctx context.Context, e reducer.WatchStore) reducer.StoreAnswer {
	outcome, entry, err := r.store.Watch(ctx, r.source.Key, e.After.Number, watchWait)
	read := reducer.StoreRead{Result: reducer.StoreUnknown}
	switch {
	case err != nil:
	case outcome == platform.Changed:
		read = r.readResult(entry)
	case outcome == platform.HistoryGone:
		read.Result = reducer.StoreHistoryGone
	default:
		read.Result, read.Revision = reducer.StoreUnchanged, entry.StoreRevision
	}
	read.Watch, read.After = true, e.After
	return read
}

// readResult returns the event that reports an entry: absent, malformed or a document.
func (r *Runner) readResult(entry platform.Entry) reducer.StoreRead {
	read := reducer.StoreRead{Result: reducer.StoreAbsent, Revision: entry.StoreRevision}
	if entry.Problem != "" {
		read.Result, read.Problem = reducer.StoreMalformed, entry.Problem
		return read
	}
	if entry.Revision == 0 {
		return read
	}
	document, err := r.source.Decode(entry.Value)
	if err != nil {
		read.Result, read.Problem = reducer.StoreMalformed, err.Error()
		return read
	}
	read.Result, read.Document = reducer.StoreOK, document
	return read
}

func (r *Runner) announceNode(ctx context.Context, e reducer.AnnounceNode) reducer.StoreAnswer {
	value, err := json.Marshal(e.Entry)
	if err != nil {
		panic(err) // cannot happen: the fields of the entry are strings and numbers
	}
	outcome, _ := r.store.PutLeased(ctx, platform.KeyNodePrefix+string(e.Entry.Node), value, platform.LeaseID(e.Lease)) // the outcome suffices; the error only gives its cause
	return reducer.NodeAnnounced{Result: writeResult(outcome), Lease: e.Lease}
}

// listNodes reads the entries of all nodes. Entries that no node can have written are listed apart.
func (r *Runner) listNodes(ctx context.Context) reducer.StoreAnswer {
	entries, err := r.store.List(ctx, platform.KeyNodePrefix)
	listed := reducer.NodesListed{Result: errorResult(err)}
	for _, entry := range entries {
		node, err := decodeNodeEntry(entry)
		if err != nil {
			listed.Invalid = append(listed.Invalid, reducer.InvalidEntry{Key: entry.Key, Problem: err.Error()})
			continue
		}
		listed.Nodes = append(listed.Nodes, node)
	}
	return listed
}

// maxNameBytes is the longest name of a node or a zone in an entry. The store's keys are at most 200 bytes long.
const maxNameBytes = 200

// decodeNodeEntry decodes and checks the entry of a node. The error names the field and what was expected.
func decodeNodeEntry(entry platform.Entry) (reducer.NodeEntry, error) {
	if entry.Problem != "" {
		return reducer.NodeEntry{}, errors.New(entry.Problem)
	}
	var node reducer.NodeEntry
	if err := json.Unmarshal(entry.Value, &node); err != nil {
		return reducer.NodeEntry{}, fmt.Errorf("value is not an entry of a node: %w", err)
	}
	if entry.Key != platform.KeyNodePrefix+string(node.Node) || node.Node == "" {
		return reducer.NodeEntry{}, fmt.Errorf("node is %.*q, expected the end of the key", maxNameBytes, node.Node)
	}
	if len(node.Zone) > maxNameBytes {
		return reducer.NodeEntry{}, fmt.Errorf("zone is longer than %d bytes", maxNameBytes)
	}
	address, err := netip.ParseAddrPort(node.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return reducer.NodeEntry{}, fmt.Errorf("address is %.*q, expected IP:port of a node", maxNameBytes, node.Address)
	}
	return node, nil
}

func errorResult(err error) reducer.StoreResult {
	if err != nil {
		return reducer.StoreUnknown
	}
	return reducer.StoreOK
}

func writeResult(outcome platform.WriteOutcome) reducer.StoreResult {
	switch outcome {
	case platform.Applied:
		return reducer.StoreOK
	case platform.NoLease:
		return reducer.StoreNoLease
	case platform.NotApplied:
		return reducer.StoreConflict
	default:
		return reducer.StoreUnknown
	}
}
