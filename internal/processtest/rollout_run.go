package processtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	platformstandin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/operator"
)

// rollOutDefects are the kinds of new versions. Service times and load make 4 requests run at a time: "load" shows only
// when the new version gets most of them.
var rollOutDefects = map[string]backend.Defect{
	"good":        {},
	"fails":       {Share: 0.5},
	"slow":        {Share: 1, Slowdown: 4},
	"fails-later": {Share: 0.5, After: 3 * time.Second},
	"slow-later":  {Share: 1, Slowdown: 4, After: 3 * time.Second},
	"fails-load":  {Share: 0.8, Above: 2},
	"slow-load":   {Share: 1, Slowdown: 5, Above: 2},
	"fails-route": {Share: 0.6, Path: "/book"},
	"slow-route":  {Share: 1, Slowdown: 4, Path: "/book"},
}

// rollOutFaults are the faults during a roll-out.
var rollOutFaults = map[string]func(*rollOutRun, context.Context) error{
	"none":           func(*rollOutRun, context.Context) error { return nil },
	"decider-killed": (*rollOutRun).killDecider,
	"platform-silent": func(r *rollOutRun, ctx context.Context) error {
		return r.stopPlatform(ctx, platformstandin.FaultSilent)
	},
	"platform-refuses": func(r *rollOutRun, ctx context.Context) error { return r.stopPlatform(ctx, platformstandin.FaultDown) },
	zoneCutFault:       (*rollOutRun).cutZone,
	"node-restarted":   (*rollOutRun).restartNewNode,
	guardedKillFault:   (*rollOutRun).killDeciderInGuardedStep,
}

const (
	zoneCutFault     = "zone-cut"
	guardedKillFault = "decider-killed-guarded"
	cutOffZone       = "Horten"
	outageTime       = 4 * time.Second
	zoneCutTime      = 5 * time.Second
	// afterEndTime is how long requests go on after the end of a roll-out, and again after the restart of a node.
	afterEndTime = 1500 * time.Millisecond
)

// rollOutCase names a defect and a fault.
type rollOutCase struct{ defect, fault string }

func (c rollOutCase) String() string { return c.defect + "/" + c.fault }

// rollOutRun is one run of a case. Its times follow from the seed.
type rollOutRun struct {
	*rollOutCluster
	rollOutCase
	random    *rand.Rand
	observed  rollOutObservation
	partition *Partition
	dead      []*fleet.Place // whose nodes were killed and not restarted
}

// newRollOutRun returns a run whose processes are not started.
func newRollOutRun(programs, directory string, c rollOutCase, seed uint64) (*rollOutRun, error) {
	cluster, err := newRollOutCluster(programs, directory, rollOutDefects[c.defect])
	if err != nil {
		return nil, err
	}
	r := &rollOutRun{rollOutCluster: cluster, rollOutCase: c, random: rand.New(rand.NewPCG(seed, 0)), partition: &Partition{}}
	r.observed.isGood = c.defect == "good"
	r.observed.duration = 12*time.Second + r.between(0, 4*time.Second).Round(time.Second)
	if c.fault == zoneCutFault {
		err = r.partition.Install(cluster.Cluster, cutOffZone)
	}
	return r, err
}

// between draws a time.
func (r *rollOutRun) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// run orders the roll-out under load, injects the fault, waits for the end, restarts a node and reads what was observed.
// The processes run already.
func (r *rollOutRun) run(ctx context.Context, seed uint64) error {
	const maxLoad = 90 * time.Second // the load is cancelled at the end
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	awaitReport := StartLoad(loadCtx, seed, maxLoad, rollOutSpecs(), r.Places...)
	if err := fleet.Sleep(ctx, r.between(undisturbedTime, 2*undisturbedTime)); err != nil {
		return err
	}
	err := r.order(ctx, r.observed.duration)
	if err == nil {
		r.observed.ordered, err = r.orderedAt(ctx)
	}
	if err == nil {
		err = rollOutFaults[r.fault](r, ctx)
	}
	if err == nil {
		err = r.finish(ctx)
	}
	cancel()
	r.observed.report = awaitReport()
	if err != nil {
		return err
	}
	return r.collect(ctx)
}

// finish waits for the end of the roll-out and restarts the node beside an old upstream.
func (r *rollOutRun) finish(ctx context.Context) error {
	// The decider gives up after 1.5 times the duration; 5 s are for another one to take over.
	deadline := r.observed.ordered.Add(r.observed.duration*3/2 + r.observed.outage.length() + 5*time.Second)
	if ended, err := r.awaitEnd(ctx, deadline); err != nil || !ended {
		return err
	}
	if err := fleet.Sleep(ctx, afterEndTime); err != nil {
		return err
	}
	alive := slices.DeleteFunc(slices.Clone(r.old), func(p *fleet.Place) bool { return slices.Contains(r.dead, p) })
	began := time.Now()
	p := alive[r.random.IntN(len(alive))]
	if err := r.restart(ctx, p, syscall.SIGTERM); err != nil {
		return err
	}
	if err := r.awaitServing(ctx, p); err != nil {
		return err
	}
	r.observed.restarts = append(r.observed.restarts, window{began, time.Now().Add(upstreamBound)})
	return fleet.Sleep(ctx, afterEndTime)
}

// awaitServing waits until a node that was restarted is ready.
func (r *rollOutRun) awaitServing(ctx context.Context, p *fleet.Place) error {
	return r.awaitStatus(ctx, startTimeout, []*fleet.Place{p}, func(answers []operator.NodeAnswer) bool {
		return answers[0].Problem == "" && answers[0].Status.Ready && answers[0].Status.Version.Number == 1
	})
}

// collect reads what the store and the backend servers observed. It returns an error if a process has ended that the case
// does not end.
func (r *rollOutRun) collect(ctx context.Context) error {
	var err error
	if r.observed.statuses, err = r.statuses(ctx); err != nil {
		return err
	}
	if r.observed.old, err = r.executions(ctx, r.rollOutCluster.old); err != nil {
		return err
	}
	if r.observed.new, err = r.executions(ctx, r.rollOutCluster.new); err != nil {
		return err
	}
	for _, p := range r.Places {
		if p.Backend.HasEnded() || p.Node.HasEnded() && !slices.Contains(r.dead, p) {
			return oops.In("processtest").Errorf("a process of %s has ended", p.ID)
		}
	}
	return nil
}

// sleepAfterOrder waits until a time after the order.
func (r *rollOutRun) sleepAfterOrder(ctx context.Context, after time.Duration) error {
	return fleet.Sleep(ctx, time.Until(r.observed.ordered.Add(after)))
}

// sleepBeforeVerdict waits until a time at which no verdict can have been reached. A version that is bad from the start is
// found 0.6 s after the order at the earliest (one report), one that turns bad after 3 s then, and others in the last steps.
func (r *rollOutRun) sleepBeforeVerdict(ctx context.Context) error {
	latest := r.observed.duration / 2
	switch defect := rollOutDefects[r.defect]; {
	case defect.After > 0:
		latest = defect.After
	case defect.Share > 0 && defect.Above == 0:
		latest = 500 * time.Millisecond
	}
	return r.sleepAfterOrder(ctx, r.between(200*time.Millisecond, latest))
}

// hasEndedBy returns an error if the roll-out ended before a time, so that the fault of the case had no effect.
func (r *rollOutRun) hasEndedBy(ctx context.Context, moment time.Time) error {
	statuses, err := r.statuses(ctx)
	if err == nil && slices.ContainsFunc(statuses, func(s rollOutStatus) bool { return s.hasEnded() && s.at.Before(moment) }) {
		err = fmt.Errorf("the roll-out ended before the fault: %+v", statuses)
	}
	return err
}

// killDecider kills the node that decides.
func (r *rollOutRun) killDecider(ctx context.Context) error {
	decider, err := r.awaitDecider(ctx)
	if err != nil {
		return err
	}
	if err := r.sleepBeforeVerdict(ctx); err != nil {
		return err
	}
	return r.kill(ctx, decider)
}

// killDeciderInGuardedStep kills the node that decides once the guarded step is written.
func (r *rollOutRun) killDeciderInGuardedStep(ctx context.Context) error {
	for {
		state, err := r.state(ctx)
		if err != nil {
			return err
		}
		if state.Guarded {
			break
		}
		if err := fleet.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	decider, err := r.awaitDecider(ctx)
	if err != nil {
		return err
	}
	return r.kill(ctx, decider)
}

// kill kills the node that decides, which must not have ended the roll-out.
func (r *rollOutRun) kill(ctx context.Context, decider *fleet.Place) error {
	at := time.Now()
	decider.Node.Signal(syscall.SIGKILL)
	r.dead = append(r.dead, decider)
	r.observed.killed = append(r.observed.killed, decider.Callers)
	r.observed.faults = append(r.observed.faults, window{at.Add(-rollOutTimeout), at.Add(upstreamBound)})
	_ = decider.Node.Wait(ctx, startTimeout) // returns an error because the node was killed
	return r.hasEndedBy(ctx, at)
}

// stopPlatform makes the store unavailable for outageTime.
func (r *rollOutRun) stopPlatform(ctx context.Context, kind platformstandin.FaultKind) error {
	if err := r.sleepBeforeVerdict(ctx); err != nil {
		return err
	}
	r.observed.outage.from = time.Now()
	if err := r.inject(ctx, platformstandin.Fault{Kind: kind}); err != nil {
		return err
	}
	if err := r.inject(ctx, platformstandin.Fault{Kind: platformstandin.FaultCutWatch}); err != nil {
		return err
	}
	if err := fleet.Sleep(ctx, outageTime); err != nil {
		return err
	}
	if err := r.inject(ctx, platformstandin.Fault{Kind: platformstandin.FaultNone}); err != nil {
		return err
	}
	r.observed.outage.to = time.Now()
	return r.hasEndedBy(ctx, r.observed.outage.from)
}

// cutZone cuts a zone off from the other one and from the store for zoneCutTime.
func (r *rollOutRun) cutZone(ctx context.Context) error {
	if err := r.sleepAfterOrder(ctx, r.between(500*time.Millisecond, 3*time.Second)); err != nil {
		return err
	}
	began := time.Now()
	r.partition.Begin()
	err := fleet.Sleep(ctx, zoneCutTime)
	r.partition.End()
	r.observed.faults = append(r.observed.faults, window{began.Add(-rollOutTimeout), time.Now().Add(upstreamBound)})
	return err
}

// restartNewNode restarts the node beside an upstream of the new version, by SIGTERM or SIGKILL.
func (r *rollOutRun) restartNewNode(ctx context.Context) error {
	if err := r.sleepAfterOrder(ctx, r.between(500*time.Millisecond, 6*time.Second)); err != nil {
		return err
	}
	p, signal := r.rollOutCluster.new[r.random.IntN(2)], []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.random.IntN(2)]
	began := time.Now()
	if err := r.restart(ctx, p, signal); err != nil {
		return err
	}
	if err := r.awaitServing(ctx, p); err != nil {
		return err
	}
	until := time.Now().Add(upstreamBound)
	if signal == syscall.SIGTERM {
		r.observed.restarts = append(r.observed.restarts, window{began, until})
		return nil
	}
	r.observed.killed = append(r.observed.killed, p.Callers)
	r.observed.faults = append(r.observed.faults, window{began.Add(-rollOutTimeout), until})
	return nil
}
