package reducer

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// init sets the seed of rapid, so that every run draws the same values. Rapid prints the seed of a failure.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// queueModel is the expected state of the calls at a target: the waiting ones by priority in order of arrival, and the
// running ones.
type queueModel struct {
	waiting [tables.Priorities][]Handle
	running []Handle
}

// drop removes a call that no longer waits.
func (m *queueModel) drop(call Handle) {
	for p := range m.waiting {
		m.waiting[p] = slices.DeleteFunc(m.waiting[p], func(h Handle) bool { return h == call })
	}
}

// apply updates the model with the effects of an input, and fails if a call starts before an older one of its priority.
func (m *queueModel) apply(t *rapid.T, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case AnswerForward:
			m.drop(e.Call)
		case StartBackendRequest:
			head := slices.ContainsFunc(m.waiting[:], func(calls []Handle) bool { return len(calls) > 0 && calls[0] == e.Call })
			if !head {
				t.Fatalf("call %d starts before an older call of its priority", e.Call)
			}
			m.drop(e.Call)
			m.running = append(m.running, e.Call)
		}
	}
}

// check fails if the queue and the counts of the state differ from the model, or if calls wait while slots are free.
func (m *queueModel) check(t *rapid.T, s *State, slots int) {
	q, total := &s.target.queue, 0
	for p := range m.waiting {
		total += len(m.waiting[p])
		if q.waiting[p].count != len(m.waiting[p]) {
			t.Fatalf("priority %d has a count of %d calls, expected %d", p, q.waiting[p].count, len(m.waiting[p]))
		}
	}
	if q.len() != total || s.target.running != len(m.running) || q.running != len(m.running) || len(m.running) > slots {
		t.Fatalf("%d queued, %d (target) and %d (queue) running in %d slots, expected %d queued and %d running", q.len(), s.target.running, q.running, slots, total, len(m.running))
	}
	if total > 0 && len(m.running) < slots {
		t.Fatalf("%d calls wait although %d of %d slots are free", total, slots-len(m.running), slots)
	}
}

// TestQueueProperties guards against more running calls than slots, a call that overtakes an older one of its priority,
// a free slot while calls wait, and wrong counts, for any order of arrivals, completions and cancellations.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(r, "slots")
		d := newTestTarget(t, map[string]string{"slots": fmt.Sprint(slots), "ramp": "0s", "min_share.2": "20", "min_share.7": "5", "queue_limit": "12"})
		var model queueModel
		reduce := func(input Input) {
			model.apply(r, Reduce(d.state, Event{Now: d.now, Rand: 1, Input: input}))
			model.check(r, d.state, slots)
		}
		for seq := range rapid.IntRange(1, 60).Draw(r, "steps") {
			d.now += time.Duration(rapid.IntRange(0, 30).Draw(r, "ms")) * time.Millisecond
			Reduce(d.state, Event{Now: d.now, Input: testRegistration(map[string]string{"slots": fmt.Sprint(slots)})})
			switch action := rapid.IntRange(0, 5).Draw(r, "action"); {
			case action < 3:
				call, p := Handle(seq+1), rapid.IntRange(0, tables.Priorities-1).Draw(r, "priority")
				model.waiting[p] = append(model.waiting[p], call)
				reduce(ForwardArrived{
					Call: call, ID: CallID{Origin: "o", Seq: uint64(call)}, Route: "r", Pool: "p", Priority: p,
					Idempotent: true, TimeLeft: time.Minute, TargetIncarnation: 1,
				})
			case action < 5 && len(model.running) > 0:
				call := model.running[0]
				model.running = model.running[1:]
				reduce(BackendRequestDone{Call: call, Result: BackendAnswered, Status: 200, Elapsed: 10 * time.Millisecond})
			default:
				for _, calls := range model.waiting {
					if len(calls) > 0 {
						reduce(CancelArrived{ID: CallID{Origin: "o", Seq: uint64(calls[len(calls)-1])}})
						break
					}
				}
			}
		}
	})
}

// TestTimerProperties guards against timers that fire out of order, twice, after their cancellation, or not at all.
func TestTimerProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		heap, model, seq := newTimers(), map[timerKey]timer{}, uint64(0)
		key := func() timerKey {
			return timerKey{kind: timerKind(rapid.IntRange(1, 3).Draw(r, "kind")), call: Handle(rapid.IntRange(0, 4).Draw(r, "call"))}
		}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "action") {
			case 0, 1:
				k, at := key(), time.Duration(rapid.IntRange(0, 20).Draw(r, "at"))
				seq++
				heap.set(k, at)
				model[k] = timer{key: k, at: at, seq: seq}
			case 2:
				k := key()
				heap.cancel(k)
				delete(model, k)
			default:
				now := time.Duration(rapid.IntRange(0, 20).Draw(r, "now"))
				var first *timer
				for _, m := range model {
					if m.at <= now && (first == nil || m.at < first.at || m.at == first.at && m.seq < first.seq) {
						first = &m
					}
				}
				got, ok := heap.pop(now)
				if ok != (first != nil) || ok && got != first.key {
					r.Fatalf("pop returns %v, %v, expected %+v", got, ok, first)
				}
				delete(model, got)
			}
			if len(heap.queue) != len(model) || len(heap.byKey) != len(model) {
				r.Fatalf("%d timers, expected %d", len(heap.queue), len(model))
			}
		}
	})
}

// TestRecordProperties guards against execution records that are removed before or kept after the end of their
// retention, removed records that mayHaveExpired does not report, and bytes of responses that are still counted after
// their record was removed.
func TestRecordProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := newTestTarget(t, map[string]string{"slots": "1000", "ramp": "0s", "queue_limit": "1000"})
		ends, kept := map[CallID]time.Duration{}, map[CallID]int64{}
		for seq := range rapid.IntRange(1, 30).Draw(r, "calls") {
			d.now += time.Duration(rapid.IntRange(0, 40).Draw(r, "s")) * time.Second
			Reduce(d.state, Event{Now: d.now, Input: testRegistration(map[string]string{"slots": "1000"})})
			retention := time.Duration(rapid.IntRange(0, 300).Draw(r, "retention")) * time.Second
			id := CallID{Origin: "o", Incarnation: 1, Seq: uint64(seq + 1)}
			ends[id], kept[id] = d.now+2*tables.MaxTimeout, int64(rapid.IntRange(0, 9).Draw(r, "bytes"))
			call := Handle(seq + 1)
			d.reduce(ForwardArrived{Call: call, ID: id, Route: "r", Pool: "p", KeyRetention: retention, TimeLeft: time.Second, TargetIncarnation: 1})
			d.reduce(BackendRequestDone{Call: call, Result: BackendAnswered, Status: 200, KeptBytes: kept[id]})
			checkRecords(r, d, ends, kept)
		}
	})
}

// checkRecords compares the records and their counts with the end of the retention and the response size of each call.
func checkRecords(r *rapid.T, d *testTarget, ends map[CallID]time.Duration, kept map[CallID]int64) {
	records, bytes := &d.state.target.records, int64(0)
	for id, end := range ends {
		record, held := records.byKey[recordKey{id: id}]
		if held != (d.now < end) || !held && !records.mayHaveExpired(id) {
			r.Fatalf("at %v: record of %v exists: %v, may have expired: %v, retention ends at %v", d.now, id, held, records.mayHaveExpired(id), end)
		}
		if held && record.keptBytes != 0 && record.keptBytes != kept[id] {
			r.Fatalf("record of %v has a response of %d bytes, expected %d", id, record.keptBytes, kept[id])
		}
		if held {
			bytes += record.keptBytes
		}
	}
	if records.keptBytes != bytes || records.len() != len(records.expiry) {
		r.Fatalf("%d bytes counted, expected %d; %d records, %d in the expiry heap", records.keptBytes, bytes, records.len(), len(records.expiry))
	}
}

// drawMember draws a member entry. Entries of a node with the same incarnation and sequence differ only in their state,
// because only the node itself writes the other fields.
func drawMember(r *rapid.T) Member {
	node := rapid.SampledFrom([]NodeID{"a", "b", "c"}).Draw(r, "node")
	incarnation := Incarnation(rapid.IntRange(1, 3).Draw(r, "incarnation"))
	sequence := uint64(rapid.IntRange(1, 3).Draw(r, "sequence"))
	states := []MemberState{MemberAlive, MemberSuspect, MemberLeaving, MemberDead, MemberLeft}
	return Member{
		Node: node, Zone: "z", Address: string(node), Incarnation: incarnation, Sequence: sequence,
		State:    rapid.SampledFrom(states).Draw(r, "state"),
		Upstream: Upstream{Service: "s", Slots: int(sequence) + 10*int(incarnation), State: UpstreamReady},
	}
}

// TestMemberMergeProperties guards against nodes whose member tables differ although they received the same entries, in
// another order, in other groups or more than once: the merge must be commutative, associative and idempotent.
func TestMemberMergeProperties(t *testing.T) {
	merge := func(updates [][]Member) []Member {
		s := New(Config{Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits()})
		for _, update := range updates {
			Reduce(s, Event{Now: time.Second, Input: PeerMessage{From: PeerRef{Node: "x"}, Message: MemberUpdate{Members: update}}})
		}
		return s.members.sorted()
	}
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(r, "entries")
		shuffled := rapid.Permutation(append(slices.Clone(entries), entries[:rapid.IntRange(0, len(entries)).Draw(r, "repeated")]...)).Draw(r, "shuffled")
		cut := rapid.IntRange(0, len(shuffled)).Draw(r, "cut")
		one, two := merge([][]Member{entries}), merge([][]Member{shuffled[:cut], shuffled[cut:]})
		if !slices.Equal(one, two) {
			r.Fatalf("%+v\nin another order results in\n%+v", one, two)
		}
	})
}
