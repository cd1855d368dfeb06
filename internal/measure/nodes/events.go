package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// eventRounds is the number of timed events of each kind.
	eventRounds = 20_000
	// allocRounds is smaller because reading the allocator's counts stops the process.
	allocRounds = 300
	// eventStep is the virtual time of a round: 20,000 rounds stay below the 3 s after which zones that
	// send nothing are lost.
	eventStep = 20 * time.Microsecond
)

// kind is what was measured of one kind of event.
type kind struct {
	name   string
	times  latencies
	allocs uint64
	bytes  uint64
	rounds uint64 // with counted allocations
}

var versionOne = document(1).ID()

// bench feeds events to one state with the table of the target size.
type bench struct {
	state  *reducer.State
	now    time.Duration
	seq    reducer.Handle
	kinds  map[string]*kind
	order  []string
	counts bool // count allocations instead of time
}

// reportEvents measures events with a member table of the target size.
func reportEvents() {
	heading(fmt.Sprintf("events: %d services, %d upstreams, %d zones", services, targetNodes, zones))
	kinds := map[string]*kind{}
	b := &bench{kinds: kinds}
	b.reset()
	b.run(eventRounds)
	b.counts = true
	b.reset()
	b.run(allocRounds)
	b.rare()
	b.counts = false
	b.rare()
	t := newTable("event", "p50 us", "p99 us", "max us", "allocs", "bytes", "timed")
	for _, name := range b.order {
		k := kinds[name]
		t.row(name, micros(k.times.at(50)), micros(k.times.at(99)), micros(k.times.longest()),
			fmt.Sprint(k.allocs/k.rounds), fmt.Sprint(k.bytes/k.rounds), fmt.Sprint(k.times.TotalCount()))
	}
	t.print()
}

func (b *bench) reset() {
	b.now = 0
	b.state = reducer.New(reducer.Config{
		Self: member(0, 0).Node, Zone: zoneName(0), Address: member(0, 0).Address, Incarnation: 1,
		Limits: reducer.DefaultLimits(), Tables: snapshot(document(1)),
	})
	b.quiet(reducer.PeerMessage{From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: others(), Repair: true}})
	b.quiet(reducer.TimerDue{})
	b.age()
}

// age lets the upstreams serve for longer than the retention of keys, so that their owners are settled. All
// peers send a heartbeat afterwards, because none may look silent.
func (b *bench) age() {
	for _, pass := range []time.Duration{tables.MaxKeyRetention + time.Minute, 1100 * time.Millisecond} {
		b.now += pass
		b.quiet(reducer.TimerDue{})
	}
	for _, m := range others() {
		b.quiet(reducer.PeerMessage{From: m.Ref(), Message: reducer.Heartbeat{Version: versionOne, TableDigest: 1}})
	}
	b.quiet(reducer.BackendRegistered{Service: serviceName(0), Address: "127.0.0.1:1", Slots: slots})
}

// quiet applies an event that is not measured.
func (b *bench) quiet(in reducer.Input) []reducer.Effect {
	return reducer.Reduce(b.state, reducer.Event{Now: b.now, Rand: uint64(b.seq) * 7919, Input: in})
}

// timed applies an event and records its cost.
func (b *bench) timed(name string, in reducer.Input) []reducer.Effect {
	k := b.kinds[name]
	if k == nil {
		k = &kind{name: name, times: newLatencies()}
		b.kinds[name] = k
		b.order = append(b.order, name)
	}
	if !b.counts {
		begin := time.Now()
		effects := b.quiet(in)
		k.times.add(time.Since(begin))
		return effects
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	effects := b.quiet(in)
	runtime.ReadMemStats(&after)
	k.allocs += after.Mallocs - before.Mallocs
	k.bytes += after.TotalAlloc - before.TotalAlloc
	k.rounds++
	return effects
}

// run measures the events of calls, heartbeats and member updates.
func (b *bench) run(rounds int) {
	for i := range rounds {
		b.now += eventStep
		b.call("arrived call, other upstream", "answer", reducer.CallArrived{Method: "GET", Path: path(1 + i%(services-1))})
		b.call("arrived call with key", "answer to call with key", reducer.CallArrived{
			Method: "POST", Path: path(1+i%(services-1)) + "/book", IdempotencyKey: fmt.Sprint("k", i), FirstAttempt: true,
		})
		b.forwarded()
		peer := member(i%zones, 1+i%100)
		b.timed("heartbeat", reducer.PeerMessage{From: peer.Ref(), Message: reducer.Heartbeat{Version: versionOne, TableDigest: 1}})
		peer.Sequence = uint64(i + 2)
		b.timed("member update, 1 entry", reducer.PeerMessage{
			From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: []reducer.Member{peer}},
		})
	}
}

// call measures a call of a caller and its answer.
func (b *bench) call(arrived, answered string, in reducer.CallArrived) {
	b.seq++
	in.Call, in.RetriesLeft = b.seq, -1
	for _, effect := range b.timed(arrived, in) {
		forward, ok := effect.(reducer.Forward)
		if !ok {
			continue
		}
		b.timed(answered, reducer.ForwardDone{
			Call: in.Call, Attempt: forward.Attempt, Result: reducer.ForwardAnswered, Outcome: reducer.OutcomeDone, Status: 200,
			Load: reducer.LoadReport{Slots: slots, ServiceTime: time.Millisecond},
		})
	}
}

// forwarded measures a call that a peer forwarded and the response of the backend server.
func (b *bench) forwarded() {
	b.seq++
	in := reducer.ForwardArrived{
		Call: b.seq, ID: reducer.CallID{Origin: member(1, 1).Node, Incarnation: 1, Seq: uint64(b.seq)}, Route: "r0-0",
		Pool: serviceName(0), Idempotent: true, TimeLeft: time.Second, TargetIncarnation: 1,
	}
	for _, effect := range b.timed("forwarded call", in) {
		if _, ok := effect.(reducer.StartBackendRequest); ok {
			b.timed("response of backend server", reducer.BackendRequestDone{
				Call: in.Call, Result: reducer.BackendAnswered, Status: 200, Bytes: 64, Elapsed: time.Millisecond,
			})
		}
	}
}

// rareRounds bounds events that need a new state or a new version each time.
const rareRounds = 200

// rare measures configuration, the timer of heartbeats, a zone that returns and a node that joins.
func (b *bench) rare() {
	for i := range rareRounds {
		b.reset()
		b.configuration(uint64(i + 2))
		b.now += 600 * time.Millisecond
		b.timed("heartbeat timer, 9 links", reducer.TimerDue{})
		dead := member(2, 5)
		dead.State = reducer.MemberDead
		b.timed("member update, 1 dead (new links)", reducer.PeerMessage{
			From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: []reducer.Member{dead}},
		})
		var returned []reducer.Member
		for index := range zoneSize(1) {
			m := member(1, index)
			m.Incarnation++
			returned = append(returned, m)
		}
		b.timed("member update, 138 restarted", reducer.PeerMessage{
			From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: returned},
		})
		b.join()
	}
}

// configuration measures an offered version, its activation and the message to the links.
func (b *bench) configuration(version uint64) {
	delta := tables.Diff(document(1), document(version))
	offer := reducer.PeerMessage{From: member(0, 1).Ref(), Message: reducer.ConfigUpdate{Delta: &delta}}
	for _, effect := range b.timed("configuration offer", offer) {
		if check, ok := effect.(reducer.CheckTables); ok {
			k := b.checkOffThread(check)
			b.timed("configuration activation", k)
		}
	}
}

// checkOffThread measures parsing and validation, which run outside the control thread.
func (b *bench) checkOffThread(check reducer.CheckTables) reducer.TablesChecked {
	const name = "(check of tables, not on the thread)"
	k := b.kinds[name]
	if k == nil {
		k = &kind{name: name, times: newLatencies(), rounds: 1}
		b.kinds[name] = k
		b.order = append(b.order, name)
	}
	begin := time.Now()
	checked := check.Run()
	k.times.add(time.Since(begin))
	return checked
}

// join measures the whole member table arriving at a node that knows nobody.
func (b *bench) join() {
	b.state = reducer.New(reducer.Config{
		Self: member(0, 0).Node, Zone: zoneName(0), Address: member(0, 0).Address, Incarnation: 2,
		Limits: reducer.DefaultLimits(), Tables: snapshot(document(1)),
	})
	b.timed("member update, 959 entries (join)", reducer.PeerMessage{
		From: member(0, 1).Ref(), Message: reducer.MemberUpdate{Members: others(), Repair: true},
	})
}
