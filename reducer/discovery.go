package reducer

import "time"

// Figures of the entries by which nodes find each other in the platform's store.
const (
	// nodeLeaseTTL is how long the entry of a node that died stays. It is longer than most pauses and short
	// enough that a fleet of many replaced nodes does not search among old entries.
	nodeLeaseTTL = 10 * time.Second
	// leaseRenewInterval is how often a lease is renewed while the store answers. After a call that it did not
	// answer the next step follows the backoff, so that an entry that lapsed is back 2 s after the store is.
	leaseRenewInterval = 4 * time.Second
	// announceInterval is how often a node without an entry looks whether it needs one.
	announceInterval = time.Second
	// announceSpread is the time over which nodes that start together announce themselves, unless one of them has done
	// so before: most then join it and never need an entry.
	announceSpread = 500 * time.Millisecond
	// listAloneInterval is how often a node that knows no other one reads the entries, and listInterval how
	// often a reader of a zone does, which joins groups of nodes that do not know of each other.
	listAloneInterval = 500 * time.Millisecond
	listInterval      = 5 * time.Second
	// joinsPerList bounds the unknown nodes that are asked to join after one reading of the entries.
	joinsPerList = 3
)

// platformState is what a node has at the platform's store beside the tables.
type platformState struct {
	lease     uint64 // 0 when there is none
	announced bool   // the entry of this node is written under the lease
	call      platformCall
	list      platformCall
	listed    bool // the entries were read at least once
	started   bool // the time of the first announcement is set
	looked    bool // the entries were asked for before the first announcement of this node
	awaited   bool // that announcement waits for them
	lost      bool // the last call got no answer
}

// storeAnswered notes whether a call to the store was answered, and logs when the store is lost or regained.
func (s *State) storeAnswered(answered bool) {
	if s.platform.lost != answered {
		return
	}
	s.platform.lost = !answered
	if answered {
		s.log(LevelInfo, "platform store regained", Field{"active", s.config.active.ID().Number})
	} else {
		s.log(LevelWarn, "platform store lost", Field{"active", s.config.active.ID().Number})
	}
	if s.platform.lease != 0 { // it may have lapsed
		s.timers.set(timerKey{kind: timerAnnounce}, s.now)
	}
}

// announceDue takes the next step towards an entry in the store: a lease, the entry, the renewal of the lease. Only
// the readers of a zone have one, so that the calls do not grow with the nodes; a node that is alone is a reader.
func (s *State) announceDue() {
	p := &s.platform
	if p.call.busy || s.shutdown.phase >= phaseLeft {
		return
	}
	if !s.isReader() { // an entry that it has lapses
		p.lease, p.announced = 0, false
		s.timers.set(timerKey{kind: timerAnnounce}, s.now+announceInterval)
		return
	}
	if !p.started {
		p.started = true
		s.timers.set(timerKey{kind: timerAnnounce}, s.now+s.jitter(announceSpread))
		return
	}
	if p.lease == 0 && s.members.live == 0 && !p.looked { // others may have announced themselves meanwhile
		p.looked, p.awaited = true, true
		s.listNodesDue()
		return
	}
	p.call.busy = true
	switch {
	case p.lease == 0:
		s.emit(GrantLease{TTL: nodeLeaseTTL})
	case !p.announced:
		s.emit(AnnounceNode{Lease: p.lease, Entry: NodeEntry{Node: s.cfg.Self, Zone: s.cfg.Zone, Address: s.cfg.Address}})
	default:
		s.emit(RenewLease{Lease: p.lease})
	}
}

// announceStep sets the time of the next step after one that ended with a result.
func (s *State) announceStep(result StoreResult, next time.Duration) {
	p := &s.platform
	p.call.busy = false
	s.storeAnswered(result != StoreUnknown)
	switch result {
	case StoreOK:
		p.call.succeeded()
	case StoreNoLease:
		p.call.succeeded()
		p.lease, p.announced, next = 0, false, 0
	default:
		next = s.failed(&p.call)
	}
	s.timers.set(timerKey{kind: timerAnnounce}, s.now+next)
}

func (s *State) leaseGranted(in LeaseGranted) {
	if in.Result == StoreOK {
		s.platform.lease = in.Lease
	}
	s.announceStep(in.Result, 0)
}

func (s *State) nodeAnnounced(in NodeAnnounced) {
	s.platform.announced = in.Result == StoreOK
	s.announceStep(in.Result, leaseRenewInterval)
}

func (s *State) leaseRenewed(in LeaseRenewed) { s.announceStep(in.Result, leaseRenewInterval) }

// listNodesDue reads the entries of the other nodes when this node is alone or a reader of its zone.
func (s *State) listNodesDue() {
	if s.platform.list.busy || s.shutdown.phase != phaseServing {
		return
	}
	if s.platform.listed && s.members.live > 0 && !s.isReader() {
		s.timers.set(timerKey{kind: timerListNodes}, s.now+listInterval)
		return
	}
	s.platform.list.busy = true
	s.emit(ListNodes{})
}

func (s *State) nodesListed(in NodesListed) {
	p := &s.platform
	p.list.busy = false
	s.storeAnswered(in.Result != StoreUnknown)
	if p.awaited {
		p.awaited = false
		s.announceAfterList(in.Nodes)
	}
	if in.Result != StoreOK {
		s.timers.set(timerKey{kind: timerListNodes}, s.now+s.failed(&p.list))
		s.probeGone()
		return
	}
	p.list.succeeded()
	p.listed = true
	s.joinListed(in.Nodes)
	next := listInterval
	if s.members.live == 0 {
		next = listAloneInterval
	}
	s.timers.set(timerKey{kind: timerListNodes}, s.now+next/2+s.jitter(next/2))
}

// announceAfterList announces this node at once when it found no other one, and gives it the time to join
// otherwise.
func (s *State) announceAfterList(found []NodeEntry) {
	wait := time.Duration(0)
	if len(found) > 0 {
		wait = announceInterval
	}
	s.timers.set(timerKey{kind: timerAnnounce}, s.now+wait)
}

// probeGone asks one of the nodes that have left or died to join. While the store is away, a node that starts again at
// its address cannot find the others, but they know where it was.
func (s *State) probeGone() {
	var gone []string
	for _, m := range s.members.sorted() {
		if m.Node != s.cfg.Self && m.isGone() && m.Address != "" {
			gone = append(gone, m.Address)
		}
	}
	if len(gone) > 0 {
		s.askToJoin(gone[s.random(len(gone))])
	}
}

// joinListed asks some of the nodes that are not known here to join, from a random place in the list on.
func (s *State) joinListed(nodes []NodeEntry) {
	if len(nodes) == 0 {
		return
	}
	first := s.random(len(nodes))
	for i, asked := 0, 0; i < len(nodes) && asked < joinsPerList; i++ {
		entry := nodes[(first+i)%len(nodes)]
		if entry.Node == s.cfg.Self || entry.Address == s.cfg.Address || s.hasAddress(entry.Address) {
			continue
		}
		s.joinThrough(entry.Address)
		asked++
	}
}

// withdraw ends the lease of this node's entry.
func (s *State) withdraw() {
	if s.platform.lease != 0 {
		s.emit(EndLease{Lease: s.platform.lease})
		s.platform.lease, s.platform.announced = 0, false
	}
}
