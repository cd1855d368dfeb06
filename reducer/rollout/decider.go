package rollout

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// Member is a node that may send calls to the service, as the decider knows it.
type Member struct {
	ID      string
	Version string // of the upstream beside it
	Serves  bool   // that upstream is of the service and takes calls
	Dead    bool   // it counts as dead
	DeadFor time.Duration
	Ended   bool // its process has ended for certain
}

// Situation is what the decider knows of the mesh when it decides.
type Situation struct {
	Now      time.Duration
	WallMs   int64 // Unix milliseconds
	Members  []Member
	LongCall time.Duration // longest timeout of a route of the service
}

// Decision is what a decider wants to happen. Next is nil if the state stays.
type Decision struct {
	Next    *Stored // to be written; it holds once it is written
	Halt    bool    // the new version may be used no more from now on, whether or not Next can be written
	Reason  string
	Finding Finding
}

// reported is what a node has reported of itself.
type reported struct {
	applied  storeera.Revision // of the newest update
	oldCalls int
	at       time.Duration
}

// Decider decides one roll-out, on the node that holds the lease.
type Decider struct {
	held      Stored
	self      Node
	since     time.Duration // when this decider began to collect
	stepSince time.Duration // when the current step was written
	stepCalls int           // responses of the new version by then
	evidence  *Evidence
	nodes     map[string]reported
	settings  Settings
	halted    string // why the roll-out has been halted; empty if it has not
	// mustStepBack is set in a decider that continues the final step of another: it has no responses of the old version to
	// compare with, and would find any version good.
	mustStepBack bool
}

// Graces for the end of a roll-out.
const (
	// latePart is the part of the duration by which a roll-out that makes progress may exceed it. A good version that
	// succeeds late costs less than a second roll-out.
	latePart = 0.5
	// answerMargin is added to the time after which a node that does not answer uses the old version no more.
	answerMargin = 500 * time.Millisecond
	// minFinalCalls is the number of responses in the final step after which the roll-out may succeed. At 30 requests a
	// second these take 1 s, and with the exposure of the steps before they stay within the bound.
	minFinalCalls = 30
	// endMargin is when before the end of the order the final step is decided at the latest, so that the result is written
	// in time.
	endMargin = 400 * time.Millisecond
	// endScore is the score from which a difference that may be chance ends a roll-out at endMargin. 2.5 rolled back 1 of
	// 20 good versions at 30 requests a second.
	endScore = 3.6
	// haltTime is how long a version still gets calls that were not reported when it is halted: a report is 250 ms old at
	// most, and a halt passes four links.
	haltTime = 300 * time.Millisecond
)

// NewDecider returns the decider of a stored roll-out that is running. It continues from the stored step.
func NewDecider(settings Settings, held Stored, self Node, now time.Duration) *Decider {
	d := &Decider{settings: settings, held: held, self: self, since: now, stepSince: now, nodes: map[string]reported{}}
	d.evidence = NewEvidence(now, held.Duration)
	d.mustStepBack = held.Update.Final
	if held.Update.Halted {
		d.halted = "halted by an earlier decider"
	}
	return d
}

// Start returns the first state of a roll-out, to be written. inUse is the version in use, held the stored state.
func Start(order Order, inUse string, held Stored, self Node, wallMs int64) Stored {
	u := Update{Service: order.Service, Version: order.Version, From: inUse, State: Running, Order: order.Revision, Decider: self}
	return Stored{
		Update: u.atStep(0), Revision: held.Revision, StartedAt: wallMs, Duration: order.Duration,
		Status: Status{State: Running, Version: order.Version},
	}
}

// Refuse returns the state for an order that moves nothing: one that cannot be carried out, or that names the version in
// use. The latter counts as succeeded, because the upstreams of a version that was rolled back are stopped. A roll-out
// that the order replaces ends.
func Refuse(order Order, held Stored, self Node) Stored {
	next := held
	next.Update.Service, next.Update.Order, next.Update.Decider, next.Update.Refresh = order.Service, order.Revision, self, 0
	if held.Update.State == Running {
		next.Update.State, next.Update.Share, next.Update.Halted = RolledBack, 0, true
	}
	next.Status = Status{State: RolledBack, Version: order.Version, Reason: order.Problem}
	if order.Problem == "" {
		next.Status = Status{State: Succeeded, Version: order.Version, Reason: "the version is in use already"}
	}
	return next
}

// Held returns the state that the decider has read or written last.
func (d *Decider) Held() Stored { return d.held }

// Current returns the update to pass on, which includes a halt that is not stored yet.
func (d *Decider) Current() Update {
	u := d.held.Update
	u.Halted = u.State == Running && d.halted != ""
	return u
}

// Written notes that a state has been written.
func (d *Decider) Written(held Stored, now time.Duration) {
	if held.Update.Step != d.held.Update.Step || held.Update.State != d.held.Update.State {
		d.stepSince = now
		d.evidence.BeginSlot(now)
		d.stepCalls, _ = d.evidence.calls()
	}
	d.held = held
	d.mustStepBack = d.mustStepBack && held.Update.Final
}

// Observe notes a report of a node.
func (d *Decider) Observe(now time.Duration, node, zone string, r Report) {
	d.nodes[node] = reported{applied: r.At(), oldCalls: r.OldCalls, at: now}
	u := d.held.Update
	if isNew := r.Upstream == u.Version; r.Serves && (isNew || r.Upstream == u.From || r.Upstream == "") {
		d.evidence.Add(now, node, zone, isNew, r)
	}
}

// Halt ends the roll-out at the next decision, such as when its order was withdrawn.
func (d *Decider) Halt(reason string) {
	if d.halted == "" {
		d.halted = reason
	}
}

// Decide returns the next step of the roll-out.
func (d *Decider) Decide(s Situation) Decision {
	if d.held.Update.State != Running {
		return Decision{}
	}
	finding := d.evidence.Judge()
	elapsed := time.Duration(s.WallMs-d.held.StartedAt) * time.Millisecond
	if d.halted == "" {
		d.halted = d.reasonToHalt(s, finding, elapsed)
	}
	if d.halted != "" {
		next := d.next(func(u *Update) { u.State, u.Share, u.Halted = RolledBack, 0, true })
		next.Status = Status{State: RolledBack, Version: d.held.Update.Version, Reason: d.halted}
		return Decision{Next: next, Halt: true, Reason: d.halted, Finding: finding}
	}
	u := d.held.Update
	switch {
	case d.mustStepBack:
		return Decision{Next: d.next(func(u *Update) { *u = u.atStep(guardedStep) }), Finding: finding}
	case u.Final:
		if d.isProven(s, finding, elapsed) && d.oldIsUnused(s) {
			next := d.next(func(u *Update) { u.State, u.Share = Succeeded, 1 })
			next.Status = Status{State: Succeeded, Version: u.Version, Reason: "all traffic moved"}
			return Decision{Next: next, Reason: next.Status.Reason, Finding: finding}
		}
	case !d.mayAdvance(s, finding, elapsed):
		if share := d.firstShare(s, elapsed); u.Step == 0 && share > u.Share+minShareChange {
			return Decision{Next: d.next(func(u *Update) { u.Share = share }), Finding: finding}
		}
	default:
		return Decision{Next: d.next(func(u *Update) { *u = u.atStep(u.Step + 1) }), Finding: finding}
	}
	return Decision{}
}

// next returns the held state with a change, to be written by this decider.
func (d *Decider) next(change func(*Update)) *Stored {
	next := d.held
	change(&next.Update)
	next.Update.Decider, next.Update.Refresh = d.self, 0
	return &next
}

// reasonToHalt returns why the roll-out must be rolled back, or an empty text.
func (d *Decider) reasonToHalt(s Situation, f Finding, elapsed time.Duration) string {
	u := d.held.Update
	switch {
	case f.Verdict == Bad:
		return f.String()
	case u.Final && f.Verdict == Doubtful && f.Score >= endScore && elapsed >= d.held.Duration-endMargin:
		return "in doubt at the end of the order: " + f.String()
	case f.Verdict == Doubtful && f.Score >= endScore && f.Kind == kindSlower && elapsed >= d.firstStepEnd()+minStepTime:
		return "in doubt at the end of the first step: " + f.String()
	case f.Verdict == Doubtful && f.Score >= endScore && d.isExposureUsed(s):
		return "in doubt, and the version has had its share of requests: " + f.String()
	case u.Final:
		return ""
	case elapsed >= d.held.Duration && !servesVersion(s.Members, u.Version):
		return "no upstream of the new version serves"
	case elapsed >= d.held.Duration+time.Duration(latePart*float64(d.held.Duration)):
		return "no good verdict, or not all nodes reached, in the time of the order"
	case u.Step > 0 && !servesVersion(s.Members, u.Version):
		return "all upstreams of the new version are gone"
	}
	return ""
}

func servesVersion(members []Member, version string) bool {
	for _, m := range members {
		if m.Serves && m.Version == version {
			return true
		}
	}
	return false
}

// mayAdvance reports whether the next step may begin.
func (d *Decider) mayAdvance(s Situation, f Finding, elapsed time.Duration) bool {
	u := d.held.Update
	if f.Verdict != Good || !servesVersion(s.Members, u.Version) || s.Now-d.stepSince < minStepTime {
		return false
	}
	if u.Step == 0 && elapsed < d.firstStepEnd() {
		return false
	}
	return !u.Guarded || d.allApplied(s)
}

// isProven reports whether the new version has had enough calls in the final step, which may be the first to show that it
// cannot bear the load.
func (d *Decider) isProven(s Situation, f Finding, elapsed time.Duration) bool {
	atEnd := elapsed >= d.held.Duration-endMargin
	if f.Verdict == Doubtful && !atEnd || s.Now-d.stepSince < minStepTime {
		return false
	}
	newCalls, _ := d.evidence.calls()
	return newCalls-d.stepCalls >= minFinalCalls || atEnd
}

// isExposureUsed reports whether a version in doubt has had nearly as many calls as a bad one may get.
func (d *Decider) isExposureUsed(s Situation) bool {
	newCalls, oldCalls := d.evidence.calls()
	rate := float64(newCalls+oldCalls) / max(s.Now-d.since, time.Second).Seconds()
	onTheWay := rate * d.held.Update.Share * haltTime.Seconds()
	return float64(newCalls)+onTheWay >= d.settings.ExposureShare*rate*d.held.Duration.Seconds()+float64(d.settings.ExposureSlack)
}

// allApplied reports whether every node has applied the guarded step. One that has not may use the old version for as
// long as it is not reached.
func (d *Decider) allApplied(s Situation) bool {
	for _, m := range s.Members {
		if !m.Dead && d.held.Update.At().IsAfter(d.nodes[m.ID].applied) {
			return false
		}
	}
	return true
}

// oldIsUnused reports whether no node sends calls to the old version any more and none is open there. All nodes that were
// alive have applied the guarded step: one that does not answer has stopped by itself after PermissionTTL, and its calls end
// after the longest timeout. One that counts as dead but may be cut off has stopped after Settings.Rollback.
func (d *Decider) oldIsUnused(s Situation) bool {
	silent := PermissionTTL + s.LongCall + answerMargin
	for _, m := range s.Members {
		r, known := d.nodes[m.ID]
		if m.Dead && m.Ended || known && !d.held.Update.At().IsAfter(r.applied) && r.oldCalls == 0 {
			continue
		}
		if m.Dead {
			if m.DeadFor < d.settings.Rollback+s.LongCall+answerMargin {
				return false
			}
			continue
		}
		if s.Now-max(r.at, d.stepSince) < silent {
			return false
		}
	}
	return true
}

// firstStepEnd returns the planned end of the first step. A version whose latency is in doubt for longer is rolled back: all
// its responses may be slow, and it gets none later than Settings.Rollback after the first 50.
func (d *Decider) firstStepEnd() time.Duration {
	return time.Duration(firstStepPart * float64(d.held.Duration))
}

// firstShare returns the share of the first step by the rate of the service.
func (d *Decider) firstShare(s Situation, elapsed time.Duration) float64 {
	collected := s.Now - d.since
	newCalls, oldCalls := d.evidence.calls()
	if collected < rateAfter || newCalls+oldCalls == 0 || elapsed > d.firstStepEnd() {
		return 0
	}
	rate := float64(newCalls+oldCalls) / collected.Seconds()
	return min(firstShare+firstStepCalls/(rate*firstStepPart*d.held.Duration.Seconds()), maxFirstShare)
}
