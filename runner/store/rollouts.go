package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// performRollout starts to carry out an effect that concerns the roll-outs of versions. It returns false if it is another
// one.
func (r *Runner) performRollout(effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.ReadRollouts:
		r.run(callTimeout, r.readRollouts)
	case reducer.WatchRollouts:
		r.run(watchWait+watchMargin, func(ctx context.Context) reducer.StoreAnswer { return r.watchRollouts(ctx, e) })
	case reducer.HoldRolloutLease:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer { return r.holdRolloutLease(ctx, e) })
	case reducer.WriteRollout:
		r.run(callTimeout, func(ctx context.Context) reducer.StoreAnswer { return r.writeRollout(ctx, e) })
	default:
		return false
	}
	return true
}

// watchRollouts waits for a change of an order. Only the revision is used: the orders are read in full.
func (r *Runner) watchRollouts(ctx context.Context, e reducer.WatchRollouts) reducer.StoreAnswer {
	outcome, entry, err := r.store.Watch(ctx, r.rollouts.Prefix, e.After.Number, watchWait)
	changed := reducer.RolloutsChanged{Result: reducer.StoreOK, After: e.After, Revision: entry.StoreRevision}
	switch {
	case err != nil:
		changed.Result = reducer.StoreUnknown
	case outcome == platform.HistoryGone:
		changed.Result = reducer.StoreHistoryGone
	}
	return changed
}

// readRollouts reads the orders and the stored states. Lists may be stale: the revision is read before them, so that no
// change is missed, and an order that is missing beside a running state is read on its own.
func (r *Runner) readRollouts(ctx context.Context) reducer.StoreAnswer {
	unknown := reducer.RolloutsRead{Result: reducer.StoreUnknown}
	first, err := r.store.Get(ctx, r.rollouts.Prefix)
	if err != nil {
		return unknown
	}
	read := reducer.RolloutsRead{Result: reducer.StoreOK, Revision: first.StoreRevision}
	entries, err := r.store.List(ctx, r.rollouts.Prefix)
	if err != nil {
		return unknown
	}
	ordered := map[string]bool{}
	for _, entry := range entries {
		if service, ok := r.rollouts.ServiceOf(entry.Key); ok {
			ordered[service] = true
			read.Orders = append(read.Orders, r.decodeOrder(service, entry))
		}
	}
	if r.rollouts.Prefix != platform.KeyRolloutPrefix {
		if entries, err = r.store.List(ctx, platform.KeyRolloutPrefix); err != nil {
			return unknown
		}
	}
	for _, entry := range entries {
		service, ok := platform.ServiceOfRolloutState(entry.Key)
		if !ok {
			continue
		}
		state, ok := decodeRolloutState(service, entry)
		if !ok {
			continue
		}
		read.States = append(read.States, state)
		if state.Update.State == rollout.Running && !ordered[service] {
			order, err := r.store.Get(ctx, r.rollouts.OrderKey(service))
			if err != nil {
				return unknown
			}
			if order.Revision > 0 {
				read.Orders = append(read.Orders, r.decodeOrder(service, order))
			}
		}
	}
	return read
}

// decodeOrder decodes an order. One that cannot be carried out has a problem.
func (r *Runner) decodeOrder(service string, entry platform.Entry) rollout.Order {
	order := rollout.Order{Service: service, Revision: entry.Revision, Problem: entry.Problem}
	if order.Problem != "" {
		return order
	}
	decoded, err := r.rollouts.DecodeOrder(entry.Value)
	order.Version, order.Duration = decoded.Version, decoded.Duration
	switch {
	case err != nil:
		order.Problem = err.Error()
	case decoded.Service != service:
		order.Problem = fmt.Sprintf("service is %.*q, expected %q as in the key", maxNameBytes, decoded.Service, service)
	}
	return order
}

// decodeRolloutState decodes a stored state. One of another writer is left out.
func decodeRolloutState(service string, entry platform.Entry) (rollout.Stored, bool) {
	var state rollout.Stored
	if entry.Problem != "" || json.Unmarshal(entry.Value, &state) != nil || state.Update.Service != service {
		return rollout.Stored{}, false
	}
	state.Revision, state.Update.Revision = entry.Revision, entry.Revision
	return state, true
}

// holdRolloutLease renews the lease of the decider's key, or acquires one if the key does not exist.
func (r *Runner) holdRolloutLease(ctx context.Context, e reducer.HoldRolloutLease) reducer.StoreAnswer {
	held := reducer.RolloutLeaseHeld{Service: e.Service, Result: reducer.StoreUnknown, Lease: e.Lease}
	if e.Lease != 0 {
		outcome, _ := r.store.RenewLease(ctx, platform.LeaseID(e.Lease)) // the outcome suffices; the error only gives its cause
		held.Result = writeResult(outcome)
		return held
	}
	key := platform.RolloutDeciderKey(e.Service)
	entry, err := r.store.Get(ctx, key)
	if err != nil {
		return held
	}
	if entry.Revision > 0 {
		held.Result = reducer.StoreConflict
		return held
	}
	lease, err := r.store.GrantLease(ctx, e.TTL)
	if err != nil {
		return held
	}
	value, _ := json.Marshal(e.Node) // cannot fail: it is a text
	outcome, revision, _ := r.store.Transact(ctx, []platform.Condition{{Key: key}}, []platform.Write{{Key: key, Value: value, Lease: lease}})
	held.Result = writeResult(outcome)
	if outcome != platform.Applied {
		_ = r.store.EndLease(ctx, lease) // if this fails, the lease expires
		return held
	}
	held.Lease, held.Fence = uint64(lease), revision
	return held
}

// writeRollout writes the state and the status of a roll-out in one transaction.
func (r *Runner) writeRollout(ctx context.Context, e reducer.WriteRollout) reducer.StoreAnswer {
	service := e.Rollout.Update.Service
	value, err := json.Marshal(e.Rollout)
	if err != nil {
		panic(err) // cannot happen: the fields are texts and finite numbers
	}
	status := platform.RolloutStatus{State: e.Rollout.Status.State.String(), Version: e.Rollout.Status.Version, Reason: e.Rollout.Status.Reason}
	conditions := []platform.Condition{
		{Key: platform.RolloutDeciderKey(service), Revision: e.Fence}, {Key: platform.RolloutStateKey(service), Revision: e.Rollout.Revision},
	}
	writes := []platform.Write{
		{Key: platform.RolloutStateKey(service), Value: value}, {Key: r.rollouts.StatusKey(service), Value: r.rollouts.EncodeStatus(status)},
	}
	outcome, revision, _ := r.store.Transact(ctx, conditions, writes)
	return reducer.RolloutWritten{Service: service, Result: writeResult(outcome), Revision: revision}
}
