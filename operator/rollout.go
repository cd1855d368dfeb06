package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
)

// RolloutInfo is what the store says about the roll-out of a service.
type RolloutInfo struct {
	Service    string `json:"service"`
	Ordered    string `json:"ordered,omitempty"` // version of the order; empty if there is none
	DurationMs int64  `json:"duration_ms,omitempty"`
	Version    string `json:"version,omitempty"` // of the status
	State      string `json:"state,omitempty"`   // running, succeeded or rolled_back; empty before the first status
	Reason     string `json:"reason,omitempty"`
	Problem    string `json:"problem,omitempty"` // why the order or the status cannot be read
}

// Text returns the information as one line.
func (i RolloutInfo) Text() string {
	text := "service " + i.Service
	if i.Ordered != "" {
		text += fmt.Sprintf(", ordered %s in %v", i.Ordered, time.Duration(i.DurationMs)*time.Millisecond)
	}
	if i.State != "" {
		text += fmt.Sprintf(", %s is %s", i.Version, i.State)
	}
	for _, reason := range []string{i.Reason, i.Problem} {
		if reason != "" {
			text += ": " + reason
		}
	}
	return text
}

// rolloutPollInterval is how often WatchRollout reads the status. Steps take 0.7 s and more.
const rolloutPollInterval = 250 * time.Millisecond

// RolloutStatus reads the order and the status of the roll-out of a service.
func (r *Runner) RolloutStatus(ctx context.Context, rollouts platform.Rollouts, service string) (RolloutInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	info := RolloutInfo{Service: service}
	order, err := r.Store.Get(ctx, rollouts.OrderKey(service))
	if err != nil {
		return info, err
	}
	if order.Revision > 0 {
		decoded, err := rollouts.DecodeOrder(order.Value)
		info.Ordered, info.DurationMs = decoded.Version, decoded.Duration.Milliseconds()
		if err != nil {
			info.Problem = err.Error()
		}
	}
	entry, err := r.Store.Get(ctx, rollouts.StatusKey(service))
	if err != nil || entry.Revision == 0 {
		return info, err
	}
	status, err := rollouts.DecodeStatus(entry.Value)
	if err != nil {
		info.Problem = "the status was written by another writer: " + err.Error()
		return info, nil
	}
	info.State, info.Version, info.Reason = status.State, status.Version, status.Reason
	return info, nil
}

// StartRollout writes an order, unless a roll-out of the service runs.
func (r *Runner) StartRollout(ctx context.Context, rollouts platform.Rollouts, order platform.RolloutOrder) Result {
	if rollouts.Owner != "" {
		return Result{Outcome: Invalid, Problem: "orders are written by " + rollouts.Owner}
	}
	if err := order.Check("service", "version", "--duration"); err != nil {
		return Result{Outcome: Invalid, Problem: err.Error()}
	}
	info, err := r.RolloutStatus(ctx, rollouts, order.Service)
	switch {
	case err != nil:
		return Result{Outcome: Failed, Problem: err.Error()}
	case info.Ordered != "" && info.State == "running":
		return Result{Outcome: Conflict, Problem: "a roll-out of the service runs: " + info.Text()}
	}
	return r.writeOrder(ctx, rollouts.OrderKey(order.Service), platform.Write{Value: rollouts.EncodeOrder(order)})
}

// AbortRollout removes the order of a service. A roll-out that runs is rolled back.
func (r *Runner) AbortRollout(ctx context.Context, rollouts platform.Rollouts, service string) Result {
	if rollouts.Owner != "" {
		return Result{Outcome: Invalid, Problem: "orders are withdrawn by " + rollouts.Owner}
	}
	return r.writeOrder(ctx, rollouts.OrderKey(service), platform.Write{Remove: true})
}

// writeOrder writes or removes an order if nobody else has written it meanwhile.
func (r *Runner) writeOrder(ctx context.Context, key string, write platform.Write) Result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, key)
	switch {
	case err != nil:
		return Result{Outcome: Failed, Problem: err.Error()}
	case write.Remove && entry.Revision == 0:
		return Result{Outcome: Failed, Problem: "there is no order"}
	}
	write.Key = key
	outcome, _, err := r.Store.Transact(ctx, []platform.Condition{{Key: key, Revision: entry.Revision}}, []platform.Write{write})
	switch outcome {
	case platform.Applied:
		return Result{}
	case platform.NotApplied:
		return Result{Outcome: Conflict, Problem: "another order came first"}
	case platform.Unknown:
		return Result{Outcome: Unknown, Problem: fmt.Sprintf("the store did not answer: %v", err)}
	default:
		return Result{Outcome: Failed, Problem: fmt.Sprintf("the store refused the order: %v", err)}
	}
}

// WatchRollout reports each change of the status of the ordered roll-out until it has ended, the time is over or ctx ends.
func (r *Runner) WatchRollout(ctx context.Context, rollouts platform.Rollouts, service string, timeout time.Duration, report func(RolloutInfo)) Result {
	var last RolloutInfo
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		info, err := r.RolloutStatus(ctx, rollouts, service)
		if err == nil && info != last {
			last = info
			report(info)
		}
		ended := info.Ordered == info.Version || info.Ordered == ""
		switch {
		case err == nil && ended && info.State == "succeeded":
			return Result{}
		case err == nil && ended && info.State == "rolled_back":
			return Result{Outcome: Failed, Problem: "the version was rolled back: " + info.Reason}
		case ctx.Err() != nil:
			return Result{Outcome: Timeout, Problem: "the roll-out has not ended: " + last.Text()}
		}
		r.sleep(ctx, rolloutPollInterval)
	}
}
