package reducer

import (
	"fmt"
	"maps"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

const (
	// leaveHeartbeat is the interval of the registrations of the backend server.
	leaveHeartbeat = time.Second
	// longestDelay is how long a registration is on its way at most.
	longestDelay = 5 * time.Second
	// oldestCopy is the age of the oldest copy that the store comes back from.
	oldestCopy = 5 * time.Second
	// leaveSpread is the time within which a node that has started is told of a leave, and the store of one that it lost.
	leaveSpread = 1500 * time.Millisecond
)

// leaveWorld is a node beside a backend server, with a store and three other nodes that answer as the platform and
// nodes do. Time is that of the world; each process of the node counts from its start.
type leaveWorld struct {
	t       *rapid.T
	now     time.Duration
	pending []leaveEvent
	seq     int

	state     *State
	process   int
	startedAt time.Duration

	store     map[string]int64
	storeDown bool
	era       uint64
	copied    map[string]int64 // of the store; nil if there is none, or it was used
	copiedAt  time.Duration
	backAt    time.Duration // when the store was last restored
	keepers   []*deregistration.Keeper
	restarts  [3]int // of the other nodes

	born      int64
	sequence  uint64
	silent    bool // sends no more registrations
	draining  bool
	prompt    bool // no registration is late
	confirmed map[backendIncarnation]bool
	waiting   map[Handle]backendIncarnation
	log       []string
}

type leaveEvent struct {
	at      time.Duration
	seq     int
	process int // the event is lost if another process runs by then; 0 if it concerns any
	run     func()
}

func newLeaveWorld(t *rapid.T) *leaveWorld {
	w := &leaveWorld{t: t, store: map[string]int64{}, era: 1, confirmed: map[backendIncarnation]bool{}}
	for range 3 {
		w.keepers = append(w.keepers, &deregistration.Keeper{})
	}
	w.now = time.Hour
	w.beginLife()
	w.startProcess()
	w.after(0, 0, w.heartbeat)
	return w
}

func (w *leaveWorld) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *leaveWorld) after(delay time.Duration, process int, run func()) {
	w.seq++
	w.pending = append(w.pending, leaveEvent{w.now + delay, w.seq, process, run})
	sort.Slice(w.pending, func(i, j int) bool {
		a, b := w.pending[i], w.pending[j]
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})
}

func (w *leaveWorld) run(d time.Duration) {
	for end := w.now + d; ; {
		if len(w.pending) == 0 || w.pending[0].at > end {
			w.now = end
			return
		}
		e := w.pending[0]
		w.pending = w.pending[1:]
		w.now = e.at
		if e.process == 0 || e.process == w.process {
			e.run()
		}
	}
}

func (w *leaveWorld) startProcess() {
	w.process++
	w.startedAt = w.now
	w.waiting = map[Handle]backendIncarnation{}
	w.state = New(Config{
		Self: "n", Zone: "z", Address: "n", Incarnation: Incarnation(w.now), Limits: DefaultLimits(), Discover: true,
		Tunables: Tunables{ShutdownTimeout: time.Minute, RegistrationTTL: 3 * leaveHeartbeat},
	})
	w.note("process %d starts", w.process)
	w.tick(w.process)
}

// tick lets the timers of a process fire.
func (w *leaveWorld) tick(process int) {
	w.after(0, process, func() {
		w.reduce(TimerDue{})
		w.after(50*time.Millisecond, process, func() { w.tick(process) })
	})
}

func (w *leaveWorld) peer(i int) Member {
	return Member{Node: NodeID(fmt.Sprint("p", i)), Zone: fmt.Sprint("z", i), Address: "p", Incarnation: Incarnation(1 + w.restarts[i]), Sequence: 1, State: MemberAlive}
}

func (w *leaveWorld) reduce(input Input) {
	if w.now > w.startedAt+20*time.Millisecond { // the time to join
		for i := range w.keepers {
			w.state.members.put(w.peer(i))
		}
	}
	for _, effect := range Reduce(w.state, Event{Now: w.now - w.startedAt, Rand: uint64(w.seq), Input: input}) {
		w.perform(effect)
	}
	held := w.state.registration.incarnation
	if w.confirmed[held] && w.state.backend.state == UpstreamReady {
		w.t.Fatalf("incarnation %+v is in use after its leave was confirmed:\n%v", held, w.log)
	}
}

func (w *leaveWorld) perform(effect Effect) {
	switch e := effect.(type) {
	case StoreDeregistration:
		stored := DeregistrationStored{Exchange: e.Exchange, Instance: e.Instance, At: e.At}
		w.call(func(ok bool) StoreAnswer {
			stored.Result = StoreUnknown
			if ok {
				stored.Result = StoreOK
				w.store[e.Instance] = max(w.store[e.Instance], e.At)
			}
			return stored
		})
	case ReadDeregistration:
		w.call(func(ok bool) StoreAnswer {
			at, found := w.store[e.Instance]
			switch {
			case !ok:
				return DeregistrationRead{Instance: e.Instance, Result: StoreUnknown}
			case !found:
				return DeregistrationRead{Instance: e.Instance, Result: StoreAbsent}
			default:
				return DeregistrationRead{Instance: e.Instance, At: at, Result: StoreOK}
			}
		})
	case Send:
		hold, ok := e.Message.(HoldDeregistrations)
		if !ok {
			return
		}
		for i, keeper := range w.keepers {
			if peer := w.peer(i); peer.Node == e.To.Node {
				w.after(2*time.Millisecond, w.process, func() {
					w.reduce(PeerMessage{From: peer.Ref(), Message: DeregistrationsHeld{Records: keeper.Keep("n", hold.Records, w.now)}})
				})
			}
		}
	case AcknowledgeBackend:
		incarnation, waiting := w.waiting[e.Exchange]
		if waiting && !e.Refused {
			w.note("leave of %+v is confirmed", incarnation)
			w.confirmed[incarnation] = true
		}
		delete(w.waiting, e.Exchange)
	}
}

// call carries out a call to the store. While that is down there is no answer for a second. An answer may be late, so that it
// comes after the end of its era.
func (w *leaveWorld) call(answer func(ok bool) StoreAnswer) {
	if w.storeDown {
		w.after(time.Second, w.process, func() { w.reduce(answer(false)) })
		return
	}
	w.after(2*time.Millisecond, 0, func() {
		if w.storeDown {
			w.after(0, w.process, func() { w.reduce(answer(false)) })
			return
		}
		delay := max(0, rapid.IntRange(-9, 2).Draw(w.t, "late")) * 300
		answered := StoreAnswered{Era: w.era, Answer: answer(true)}
		w.after(time.Duration(delay)*time.Millisecond, w.process, func() { w.reduce(answered) })
	})
}

// restoreStore takes the store away for a moment and brings it back from the copy.
func (w *leaveWorld) restoreStore() {
	w.note("restore: the store loses %d of %d records", len(w.store)-len(w.copied), len(w.store))
	w.storeDown = true
	w.run(time.Duration(rapid.IntRange(200, 600).Draw(w.t, "away")) * time.Millisecond)
	w.store, w.copied, w.storeDown, w.backAt = w.copied, nil, false, w.now
	w.era++
}

func (w *leaveWorld) beginLife() {
	w.born, w.sequence, w.silent, w.draining = w.now.Milliseconds(), 0, false, false
	w.note("life of %d begins", w.born)
}

// heartbeat sends the next registration, which is sometimes late.
func (w *leaveWorld) heartbeat() {
	if !w.silent {
		w.sequence++
		in := BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: 2, Instance: "a", Born: w.born, Sequence: w.sequence, Draining: w.draining}
		delay := time.Duration(0)
		if !w.prompt {
			delay = time.Duration(rapid.IntRange(0, 8).Draw(w.t, "delay")-5) * longestDelay / 3
		}
		if delay > 0 {
			w.note("registration %d of %d is late by %v", in.Sequence, in.Born, delay)
		}
		w.after(max(delay, 0), 0, func() {
			if in.Draining {
				in.Exchange = Handle(w.seq)
				w.waiting[in.Exchange] = backendIncarnation{"a", in.Born}
			}
			w.reduce(in)
		})
	}
	w.after(leaveHeartbeat, 0, w.heartbeat)
}

// leave sends the deregistration until it is confirmed.
func (w *leaveWorld) leave(born int64) {
	if born != w.born {
		return
	}
	w.silent = true
	w.seq++
	exchange := Handle(w.seq)
	w.waiting[exchange] = backendIncarnation{"a", born}
	w.note("leave of %d", born)
	w.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: exchange})
	w.after(time.Second, 0, func() {
		if !w.confirmed[backendIncarnation{"a", born}] {
			w.leave(born)
		}
	})
}

// Guards against any order of registrations, late ones, leaves of both kinds, restarts of the process, outages of the
// store, copies that it comes back from, restarts of other nodes and further lives of an instance after which a backend
// server whose leave was confirmed is in use (review/7, 9, 10 and 13), or one that has not left is not.
func TestConfirmedLeaveHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 5 {
			playLeaves(t)
		}
	})
}

// playLeaves plays some steps in a world, and then lets the backend server start again.
func playLeaves(t *rapid.T) {
	w := newLeaveWorld(t)
	w.run(2 * time.Second)
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		switch rapid.IntRange(0, 10).Draw(t, "step") {
		case 0, 1:
			w.startProcess()
		case 2:
			w.storeDown = !w.storeDown
			w.note("store down: %v", w.storeDown)
		case 3:
			w.leave(w.born)
		case 4:
			w.draining = true
			w.note("drains")
		case 5:
			node := rapid.IntRange(0, 2).Draw(t, "node")
			w.keepers[node] = &deregistration.Keeper{}
			w.restarts[node]++
			w.note("node p%d starts again", node)
			if w.storeDown || w.copied != nil || w.now < w.backAt+leaveSpread { // perhaps only nodes know the leave
				w.run(leaveSpread)
			}
		case 6:
			w.run(time.Second)
			w.beginLife()
		case 7:
			w.copied, w.copiedAt = maps.Clone(w.store), w.now
			w.note("the store is copied")
		case 8:
			if w.copied != nil && w.now-w.copiedAt <= oldestCopy {
				w.restoreStore()
			}
		default:
			w.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		}
	}
	w.storeDown, w.prompt = false, true
	w.run(longestDelay)
	w.beginLife()
	w.startProcess()
	w.run(15 * time.Second)
	if w.state.backend.state != UpstreamReady || w.state.registration.incarnation.born != w.born {
		t.Fatalf("the backend server that has not left is %v:\n%v", w.state.backend.state, w.log)
	}
}
