package reducer

import (
	"slices"
	"time"
)

// Figures of the failure detector. Silence, the wait for the next heartbeat, flooding and refutation
// together stay below the 3 s within which a dead member has to be known.
const (
	heartbeatInterval = 500 * time.Millisecond
	silenceLimit      = 1200 * time.Millisecond
	// probeMargin is how late a heartbeat may be before it is asked for.
	probeMargin    = 100 * time.Millisecond
	refutationTime = 800 * time.Millisecond
	// witnessTime is when nodes other than the observer confirm a suspicion, in case the observer is gone.
	witnessTime = refutationTime + 200*time.Millisecond
	// zoneSilence is how long no node of a zone is heard, directly or through peers, before it is lost.
	zoneSilence = 3 * time.Second
	// zoneDoubt is the silence of a zone during which its members are not confirmed as dead. News of a
	// zone that is heard is younger: it crosses a zone within two heartbeats. It counts from the last
	// news, because a node that started or resumed may be beyond a partition.
	zoneDoubt = 1500 * time.Millisecond
	// zoneRecheck is how often a suspicion is looked at again while its zone is in doubt.
	zoneRecheck = 100 * time.Millisecond
)

// detectorState is what this node observed of members and zones.
type detectorState struct {
	lastEvent time.Duration
	suspects  map[NodeID]bool // true when this node observed the silence itself
	zones     map[string]*zoneView
	tags      map[ZoneTag]string
}

// zoneView is what is known of a zone, not counting this node.
type zoneView struct {
	heard time.Duration // or the start of the time that this node gives the zone, which it tells nobody
	// news is when a message of the zone came, here or at a peer, if one did.
	news     time.Duration
	observed bool
	lost     bool
}

func (d *detectorState) init() {
	d.suspects = map[NodeID]bool{}
	d.zones = map[string]*zoneView{}
	d.tags = map[ZoneTag]string{}
}

func (s *State) zone(name string) *zoneView {
	d := &s.members.detector
	view := d.zones[name]
	if view == nil {
		view = &zoneView{heard: s.now}
		d.zones[name] = view
		d.tags[zoneTag(name)] = name
	}
	return view
}

// noteTime gives peers one round of heartbeats after this process was paused: their messages could not
// be heard.
func (s *State) noteTime() {
	d := &s.members.detector
	paused := s.now-d.lastEvent > silenceLimit
	d.lastEvent = s.now
	if !paused {
		return
	}
	s.notePause()
	for _, l := range s.members.overlay.links {
		l.heard = s.now
	}
	for _, zone := range d.zones {
		zone.heard = s.now
	}
	for _, node := range sortedKeys(d.suspects) {
		s.timers.set(timerKey{kind: timerSuspicion, node: node}, s.now+silenceLimit)
	}
}

// heartbeatDue looks for silent peers and zones and sends heartbeats on the links. A heartbeat to a peer
// whose own one is overdue makes it answer, if only its table does not have the link.
func (s *State) heartbeatDue() {
	s.timers.set(timerKey{kind: timerHeartbeat}, s.now+heartbeatInterval)
	s.expireMembers()
	s.checkZones()
	s.checkLinks()
	heartbeat := s.heartbeat(false)
	for _, node := range s.linked() {
		l := s.members.overlay.links[node]
		if l.direction&linkOut != 0 || s.now-l.heard > heartbeatInterval+probeMargin {
			s.sendOnLink(node, heartbeat)
		}
	}
	s.probeDead(heartbeat)
	s.probeUnknownSeed()
	s.startJoining()
}

// probeDead sends a heartbeat to a member held for dead: two groups that hold each other for dead have
// no links and would stay apart. About one node of a group does so in each interval, whatever its size.
func (s *State) probeDead(heartbeat Heartbeat) {
	var dead []NodeID
	for _, node := range sortedKeys(s.members.since) {
		if s.members.table[node].State == MemberDead {
			dead = append(dead, node)
		}
	}
	if len(dead) > 0 && s.random(s.members.live+1) == 0 {
		node := dead[s.random(len(dead))]
		s.emit(Send{To: s.members.table[node].Ref(), Message: heartbeat})
	}
}

func (s *State) heartbeat(reply bool) Heartbeat {
	return Heartbeat{
		Version: s.config.active.ID(), TableDigest: s.members.digest(), Zones: s.zonesHeard(), Reply: reply,
	}
}

// zonesHeard tells peers how long ago each zone was heard. This node's own zone is heard with the message.
func (s *State) zonesHeard() []ZoneHeard {
	var heard []ZoneHeard
	for _, name := range sortedKeys(s.members.detector.zones) {
		if name != s.cfg.Zone && s.hasNewsOf(name) {
			heard = append(heard, ZoneHeard{Zone: zoneTag(name), Age: s.now - s.zone(name).news})
		}
	}
	return heard
}

func zoneTag(name string) ZoneTag { return ZoneTag(hashString(name) & zoneTagMask) }

// heartbeatArrived compares what the peer holds with what this node holds.
func (s *State) heartbeatArrived(from PeerRef, in Heartbeat) {
	s.heardVersion(from, in.Version)
	for _, zone := range in.Zones {
		name, known := s.members.detector.tags[zone.Zone]
		if known && name != s.cfg.Zone {
			s.zoneHeard(name, s.now-zone.Age)
		}
	}
	s.tellSuspect(from)
	s.compareTables(from, in.TableDigest)
	if l := s.linkTo(from.Node); !in.Reply && (l == nil || l.direction&linkIn == 0) {
		// The peer asks for a heartbeat, or its table gives it a link that this node's table does not.
		s.emit(Send{To: from, Message: s.heartbeat(true)})
	}
}

// tellSuspect lets a peer that is wrongly held for suspect or dead refute it.
func (s *State) tellSuspect(from PeerRef) {
	held, known := s.members.table[from.Node]
	if known && held.Incarnation == from.Incarnation && (held.State == MemberSuspect || held.State == MemberDead) {
		s.emit(Send{To: from, Message: MemberUpdate{Members: []Member{s.outgoing(held)}}})
	}
}

// heard notes a message on a link. One from an earlier life says nothing about the present one.
func (s *State) heard(from PeerRef) {
	member, known := s.members.table[from.Node]
	if !known {
		return
	}
	s.zoneHeard(member.Zone, s.now)
	if l := s.linkTo(from.Node); l != nil && from.Incarnation == member.Incarnation {
		*l = link{direction: l.direction, heard: s.now}
	}
}

// zoneHeard notes a message of a zone, here or at a peer. One that may have waited through a pause of this
// process is no news: the zone may have been cut off meanwhile.
func (s *State) zoneHeard(name string, at time.Duration) {
	view := s.zone(name)
	view.heard = max(view.heard, at)
	if s.hasResumedRecently() {
		return
	}
	if !view.observed || at > view.news { // the first news may be older than this process
		view.news, view.observed = at, true
	}
	if view.lost && s.now-view.heard < zoneDoubt {
		s.restoreZone(name)
	}
}

// hasNewsOf reports whether a message of a zone has come lately, here or at a peer.
func (s *State) hasNewsOf(name string) bool {
	view := s.zone(name)
	return view.observed && s.now-view.news < zoneSilence
}

// checkLinks suspects the members whose heartbeats on a link are missing. A member that refuted a suspicion
// elsewhere is not suspected again before it was heard on this link, because only the link may be broken.
func (s *State) checkLinks() {
	for _, node := range s.linked() {
		l := s.members.overlay.links[node]
		if l.direction&linkIn != 0 && !l.reported && s.now-l.heard > silenceLimit {
			l.reported = true
			s.suspect(node)
		}
	}
}

// suspect marks a member and tells the others. A member that was leaving gets no calls as a suspect.
func (s *State) suspect(node NodeID) {
	member, known := s.members.table[node]
	if !known || member.State != MemberAlive && member.State != MemberLeaving {
		return
	}
	if member.State == MemberLeaving && member.Upstream.State == UpstreamReady {
		member.Upstream.State = UpstreamDraining
	}
	member.State = MemberSuspect
	if s.learn(member) {
		s.members.detector.suspects[node] = true
		s.timers.set(timerKey{kind: timerSuspicion, node: node}, s.now+refutationTime)
		s.flood(MemberUpdate{Members: []Member{member}})
	}
}

// trackSuspicion starts or ends the wait for a refutation after an entry has changed.
func (s *State) trackSuspicion(member Member) {
	if member.State != MemberSuspect {
		s.forgetSuspicion(member.Node)
		return
	}
	s.members.detector.suspects[member.Node] = false
	s.timers.set(timerKey{kind: timerSuspicion, node: member.Node}, s.now+witnessTime)
}

func (s *State) forgetSuspicion(node NodeID) {
	delete(s.members.detector.suspects, node)
	s.timers.cancel(timerKey{kind: timerSuspicion, node: node})
}

// suspicionDue confirms a suspicion that was not refuted, unless the whole zone may be cut off.
func (s *State) suspicionDue(node NodeID) {
	member, known := s.members.table[node]
	if !known || member.State != MemberSuspect {
		return
	}
	view := s.zone(member.Zone)
	if s.now-view.heard >= zoneSilence {
		s.loseZone(member.Zone)
		return
	}
	if !view.observed || s.now-view.news >= zoneDoubt {
		s.timers.set(timerKey{kind: timerSuspicion, node: node}, s.now+zoneRecheck)
		return
	}
	observed := s.members.detector.suspects[node]
	member.State = MemberDead
	if s.learn(member) && observed {
		s.flood(MemberUpdate{Members: []Member{member}})
	}
}

func (s *State) checkZones() {
	for _, name := range sortedKeys(s.members.detector.zones) {
		view := s.zone(name)
		switch {
		case view.lost || s.now-view.heard < zoneSilence:
		case s.hasPeers(name):
			s.loseZone(name)
		default:
			// All have left or died one by one: nobody is on the other side of a partition.
			delete(s.members.detector.zones, name)
			delete(s.members.detector.tags, zoneTag(name))
		}
	}
}

func (s *State) hasPeers(zone string) bool {
	return slices.ContainsFunc(s.members.sorted(), func(m Member) bool {
		return m.Zone == zone && m.Node != s.cfg.Self && m.linkable()
	})
}

// loseZone marks the members of a silent zone as lost. Their links stay, so that its return is noticed.
func (s *State) loseZone(name string) {
	s.zone(name).lost = true
	s.log(LevelWarn, "zone lost", Field{"lost_zone", name})
	s.turnZone(name, MemberLost)
}

func (s *State) restoreZone(name string) {
	s.zone(name).lost = false
	s.noteZoneReturned(name)
	s.log(LevelInfo, "zone returned", Field{"returned_zone", name})
	s.turnZone(name, MemberAlive)
}

// turnZone sets the state of the members of a zone that are not known to be gone and restarts the
// observation of their links.
func (s *State) turnZone(name string, state MemberState) {
	for _, member := range s.members.sorted() {
		if member.Zone != name || member.Node == s.cfg.Self || !member.linkable() {
			continue
		}
		s.forgetSuspicion(member.Node)
		if state == MemberAlive {
			s.resetLink(member.Node)
		}
		member.State = state
		s.putMember(member)
	}
}

// peerSendFailed waits before the link is used again. A refused connection says that the process has
// ended, and that its zone can be reached.
func (s *State) peerSendFailed(in PeerSendFailed) {
	member, known := s.members.table[in.To.Node]
	if !known || member.Incarnation != in.To.Incarnation {
		return
	}
	if l := s.linkTo(in.To.Node); l != nil {
		l.backoff = nextBackoff(l.backoff)
		l.retryAt = s.now + s.jitter(l.backoff)
	}
	if in.Refused {
		s.zoneHeard(member.Zone, s.now)
		s.suspect(in.To.Node)
	}
}
