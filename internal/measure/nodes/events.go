package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// eventRounds is the number of rounds in which each event is timed.
	eventRounds = 20_000
	// allocRounds is the number of rounds in which allocations are counted. It is smaller because reading the
	// allocation counters stops the world.
	allocRounds = 300
	// eventStep is the virtual time between two rounds. At this step 20,000 rounds take less than the 3 s after which
	// a zone that sends nothing counts as lost.
	eventStep = 20 * time.Microsecond
)

// eventCost holds the measured cost of one kind of event.
type eventCost struct {
	name   string
	times  latencies
	allocs uint64 // heap objects, over all rounds
	bytes  uint64 // heap bytes, over all rounds
	rounds uint64 // events whose allocations were counted
}

var versionOne = document(1).ID()

// bench applies events to a reducer state with a member table of the target size and measures their cost.
type bench struct {
	state       *reducer.State
	now         time.Duration
	seq         reducer.Handle
	costs       map[string]*eventCost // by name of the event
	order       []string              // names in the order of the first measurement
	countAllocs bool                  // count allocations instead of time
}

// reportEvents measures events with a member table of the target size and prints a table.
func reportEvents() {
	printHeading(fmt.Sprintf("events: %d services, %d upstreams, %d zones", services, targetNodes, zones))
	costs := map[string]*eventCost{}
	b := &bench{costs: costs}
	b.reset()
	b.runFrequent(eventRounds)
	b.countAllocs = true
	b.reset()
	b.runFrequent(allocRounds)
	b.runRare()
	b.countAllocs = false
	b.runRare()
	t := newTable("event", "p50 us", "p99 us", "max us", "allocs", "bytes", "timed")
	for _, name := range b.order {
		cost := costs[name]
		t.row(name, micros(cost.times.percentile(50)), micros(cost.times.percentile(99)), micros(cost.times.longest()),
			fmt.Sprint(cost.allocs/cost.rounds), fmt.Sprint(cost.bytes/cost.rounds), fmt.Sprint(cost.times.TotalCount()))
	}
	t.print()
}

// reset replaces the state by a new one that knows all members.
func (b *bench) reset() {
	b.now = 0
	b.state = reducer.New(reducer.Config{
		Self: member(0, 0).Node, Zone: zoneName(0), Address: member(0, 0).Address, Incarnation: 1,
		Limits: reducer.DefaultLimits(), Tables: snapshot(document(1)),
	})
	b.apply(reducer.PeerMessage{From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: otherMembers(), Repair: true}})
	b.apply(reducer.TimerDue{})
	b.settleKeyOwners()
}

// settleKeyOwners advances time by more than the retention of keys, so that the owners of keys accept first requests.
// All peers send a heartbeat afterwards, so that none counts as silent.
func (b *bench) settleKeyOwners() {
	for _, pass := range []time.Duration{tables.MaxKeyRetention + time.Minute, 1100 * time.Millisecond} {
		b.now += pass
		b.apply(reducer.TimerDue{})
	}
	for _, m := range otherMembers() {
		b.apply(reducer.PeerMessage{From: m.Ref(), Message: reducer.Heartbeat{Version: versionOne, TableDigest: 1}})
	}
	b.apply(reducer.BackendRegistered{Service: serviceName(0), Address: "127.0.0.1:1", Slots: slots})
}

// apply applies an event without measuring it.
func (b *bench) apply(in reducer.Input) []reducer.Effect {
	return reducer.Reduce(b.state, reducer.Event{Now: b.now, Rand: uint64(b.seq) * 7919, Input: in})
}

// measure applies an event and records its time or its allocations under a name.
func (b *bench) measure(name string, in reducer.Input) []reducer.Effect {
	cost := b.costs[name]
	if cost == nil {
		cost = &eventCost{name: name, times: newLatencies()}
		b.costs[name] = cost
		b.order = append(b.order, name)
	}
	if !b.countAllocs {
		begin := time.Now()
		effects := b.apply(in)
		cost.times.add(time.Since(begin))
		return effects
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	effects := b.apply(in)
	runtime.ReadMemStats(&after)
	cost.allocs += after.Mallocs - before.Mallocs
	cost.bytes += after.TotalAlloc - before.TotalAlloc
	cost.rounds++
	return effects
}

// runFrequent measures the frequent events: calls, heartbeats and member updates.
func (b *bench) runFrequent(rounds int) {
	for i := range rounds {
		b.now += eventStep
		b.measureCall("arrived call, other upstream", "answer", reducer.CallArrived{Method: "GET", Path: path(1 + i%(services-1))})
		b.measureCall("arrived call with key", "answer to call with key", reducer.CallArrived{
			Method: "POST", Path: path(1+i%(services-1)) + "/book", IdempotencyKey: fmt.Sprint("k", i), FirstAttempt: true,
		})
		b.measureForwarded()
		peer := member(i%zones, 1+i%100)
		b.measure("heartbeat", reducer.PeerMessage{From: peer.Ref(), Message: reducer.Heartbeat{Version: versionOne, TableDigest: 1}})
		peer.Sequence = uint64(i + 2)
		b.measure("member update, 1 entry", reducer.PeerMessage{
			From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: []reducer.Member{peer}},
		})
	}
}

// measureCall measures the arrival of a call and of the answer to its forward.
func (b *bench) measureCall(arrived, answered string, in reducer.CallArrived) {
	b.seq++
	in.Call, in.RetriesLeft = b.seq, -1
	for _, effect := range b.measure(arrived, in) {
		forward, ok := effect.(reducer.Forward)
		if !ok {
			continue
		}
		b.measure(answered, reducer.ForwardDone{
			Call: in.Call, Attempt: forward.Attempt, Result: reducer.ForwardAnswered, Outcome: reducer.OutcomeDone, Status: 200,
			Load: reducer.LoadReport{Slots: slots, ServiceTime: time.Millisecond},
		})
	}
}

// measureForwarded measures the arrival of a forwarded call and of the response of the backend server.
func (b *bench) measureForwarded() {
	b.seq++
	in := reducer.ForwardArrived{
		Call: b.seq, ID: reducer.CallID{Origin: member(1, 1).Node, Incarnation: 1, Seq: uint64(b.seq)}, Route: "r0-0",
		Pool: serviceName(0), Idempotent: true, TimeLeft: time.Second, TargetIncarnation: 1,
	}
	for _, effect := range b.measure("forwarded call", in) {
		if _, ok := effect.(reducer.StartBackendRequest); ok {
			b.measure("response of backend server", reducer.BackendRequestDone{
				Call: in.Call, Result: reducer.BackendAnswered, Status: 200, Bytes: 64, Elapsed: time.Millisecond,
			})
		}
	}
}

// rareRounds is the number of rounds for events that need a new state or a new version each time.
const rareRounds = 200

// runRare measures the rare events: a new configuration, the heartbeat timer, a member that dies, a zone that
// restarts and a node that joins.
func (b *bench) runRare() {
	for i := range rareRounds {
		b.reset()
		b.measureConfiguration(uint64(i + 2))
		b.now += 600 * time.Millisecond
		b.measure("heartbeat timer, 9 links", reducer.TimerDue{})
		dead := member(2, 5)
		dead.State = reducer.MemberDead
		b.measure("member update, 1 dead (new links)", reducer.PeerMessage{
			From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: []reducer.Member{dead}},
		})
		var returned []reducer.Member
		for index := range targetNodesInZone(1) {
			m := member(1, index)
			m.Incarnation++
			returned = append(returned, m)
		}
		b.measure("member update, 138 restarted", reducer.PeerMessage{
			From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: returned},
		})
		b.measureJoin()
	}
}

// measureConfiguration measures the offer of a version, its check, and its activation, which also sends it to the
// links.
func (b *bench) measureConfiguration(version uint64) {
	delta := tables.Diff(document(1), document(version))
	offer := reducer.PeerMessage{From: member(0, 1).Ref(), Message: reducer.ConfigUpdate{Delta: &delta}}
	for _, effect := range b.measure("configuration offer", offer) {
		if check, ok := effect.(reducer.CheckTables); ok {
			checked := b.measureTableCheck(check)
			b.measure("configuration activation", checked)
		}
	}
}

// measureTableCheck measures parsing and validating tables, which run outside the control thread.
func (b *bench) measureTableCheck(check reducer.CheckTables) reducer.TablesChecked {
	const name = "(check of tables, not on the thread)"
	k := b.costs[name]
	if k == nil {
		k = &eventCost{name: name, times: newLatencies(), rounds: 1}
		b.costs[name] = k
		b.order = append(b.order, name)
	}
	begin := time.Now()
	checked := check.Run()
	k.times.add(time.Since(begin))
	return checked
}

// measureJoin measures the arrival of the whole member table at a node that knows no other node.
func (b *bench) measureJoin() {
	b.state = reducer.New(reducer.Config{
		Self: member(0, 0).Node, Zone: zoneName(0), Address: member(0, 0).Address, Incarnation: 2,
		Limits: reducer.DefaultLimits(), Tables: snapshot(document(1)),
	})
	b.measure("member update, 959 entries (join)", reducer.PeerMessage{
		From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: otherMembers(), Repair: true},
	})
}
