package reducer

import (
	"slices"
	"time"
)

// Timeouts of the failure detector. All nodes have to know of a dead member within 3 s: silenceLimit, the wait for the
// next heartbeat check, the flooding and refutationTimeout add up to less.
const (
	heartbeatInterval = 500 * time.Millisecond
	// silenceLimit is how long a link may be silent before its peer is suspected.
	silenceLimit = 1200 * time.Millisecond
	// probeMargin is how late a heartbeat may be before this node asks for it.
	probeMargin = 100 * time.Millisecond
	// refutationTimeout is how long the node that raised a suspicion waits for a refutation.
	refutationTimeout = 800 * time.Millisecond
	// witnessTimeout is how long the other nodes wait before they confirm a suspicion, in case the node that raised it
	// has died.
	witnessTimeout = refutationTimeout + 200*time.Millisecond
	// zoneSilenceLimit is how long no node of a zone may be heard, directly or through peers, before the zone is lost.
	zoneSilenceLimit = 3 * time.Second
	// zoneDoubtSilence is the silence of a zone from which on its members are not confirmed as dead, because a
	// partition may have begun. The last contact with a reachable zone is more recent: it is known to all nodes of this
	// zone within two heartbeats. The silence counts from the last contact, because the partition may have begun before
	// this process started or resumed.
	zoneDoubtSilence = 1500 * time.Millisecond
	// zoneRecheckInterval is how often a suspicion is checked again while its zone is in doubt.
	zoneRecheckInterval = 100 * time.Millisecond
)

// detectorState is the state of the failure detector of members and zones.
type detectorState struct {
	lastEvent time.Duration
	suspects  map[NodeID]bool // true when this node raised the suspicion itself
	zones     map[string]*zoneView
	zoneByTag map[ZoneTag]string
}

// zoneView is what is known of a zone, not counting this node.
type zoneView struct {
	// silentSince is when the zone was last heard, or when this node started to wait for it: at its start or after a
	// pause. It is not sent to peers.
	silentSince time.Duration
	// lastContact is when a message of the zone last arrived, here or at a peer; valid if contacted is set.
	lastContact time.Duration
	contacted   bool
	lost        bool
}

func (d *detectorState) init() {
	d.suspects = map[NodeID]bool{}
	d.zones = map[string]*zoneView{}
	d.zoneByTag = map[ZoneTag]string{}
}

// zoneViewOf returns the view of a zone, and creates it when there is none.
func (s *State) zoneViewOf(name string) *zoneView {
	d := &s.members.detector
	view := d.zones[name]
	if view == nil {
		view = &zoneView{silentSince: s.now}
		d.zones[name] = view
		d.zoneByTag[zoneTag(name)] = name
	}
	return view
}

// detectPause checks at each event whether this process was paused. If so, it restarts the timeouts of links, zones and
// suspicions, because messages that came during the pause have not been read yet.
func (s *State) detectPause() {
	d := &s.members.detector
	gap := s.now - d.lastEvent
	paused := gap > silenceLimit
	d.lastEvent = s.now
	if !paused {
		return
	}
	s.notePause()
	s.resetQuotas()
	s.suspendRollouts(gap)
	for _, l := range s.members.overlay.links {
		l.heard = s.now
	}
	for _, zone := range d.zones {
		zone.silentSince = s.now
	}
	for _, node := range sortedKeys(d.suspects) {
		s.timers.set(timerKey{kind: timerSuspicion, node: node}, s.now+silenceLimit)
	}
}

// runHeartbeatRound checks for silent peers and zones and sends the heartbeats. A peer whose heartbeat is overdue is
// sent one as well: if it is alive and only its table lacks the link, it answers.
func (s *State) runHeartbeatRound() {
	s.timers.set(timerKey{kind: timerHeartbeat}, s.now+heartbeatInterval)
	s.expireMembers()
	s.checkZones()
	s.checkLinks()
	heartbeat := s.heartbeat(false)
	for _, node := range s.linkedPeers() {
		l := s.members.overlay.links[node]
		if l.direction&linkOut != 0 || s.now-l.heard > heartbeatInterval+probeMargin {
			s.sendOnLink(node, heartbeat)
		}
	}
	s.probeDead(heartbeat)
	s.probeDeadForQuotas(heartbeat)
	s.probeUnknownSeed()
	s.startJoining()
}

// probeDead sends a heartbeat to a random dead member: two groups of nodes that consider each other dead have no links
// and would never merge. On average one node of a group does so per interval, whatever the size of the group.
func (s *State) probeDead(heartbeat Heartbeat) {
	var dead []NodeID
	for _, node := range sortedKeys(s.members.endedAt) {
		if s.members.table[node].State == MemberDead {
			dead = append(dead, node)
		}
	}
	if len(dead) > 0 && s.random(s.members.livePeers+1) == 0 {
		node := dead[s.random(len(dead))]
		s.emit(Send{To: s.members.table[node].Ref(), Message: heartbeat})
	}
}

func (s *State) heartbeat(reply bool) Heartbeat {
	return Heartbeat{
		Version: s.config.active.ID(), TableDigest: s.members.digest(), Zones: s.zonesHeard(), StoreEra: s.storeEra.Latest(), Reply: reply,
	}
}

// zonesHeard returns, for heartbeats, how long ago each zone was heard. This node's own zone is left out: the heartbeat
// itself shows that it is alive.
func (s *State) zonesHeard() []ZoneHeard {
	var heard []ZoneHeard
	for _, name := range sortedKeys(s.members.detector.zones) {
		if name != s.cfg.Zone && s.hasRecentContact(name) {
			heard = append(heard, ZoneHeard{Zone: zoneTag(name), Age: s.now - s.zoneViewOf(name).lastContact})
		}
	}
	return heard
}

func zoneTag(name string) ZoneTag { return ZoneTag(hashString(name) & zoneTagMask) }

// handleHeartbeat compares the peer's version, zones and member table with this node's, and answers if the peer needs a
// heartbeat.
func (s *State) handleHeartbeat(from PeerRef, in Heartbeat) {
	s.fetchIfNewer(from, in.Version)
	s.hearStoreEra(from, in.StoreEra)
	for _, zone := range in.Zones {
		name, known := s.members.detector.zoneByTag[zone.Zone]
		if known && name != s.cfg.Zone {
			s.noteZoneHeard(name, s.now-zone.Age)
		}
	}
	s.notifySuspect(from)
	s.compareDigest(from, in.TableDigest)
	if l := s.linkTo(from.Node); !in.Reply && (l == nil || l.direction&linkIn == 0) {
		// The peer asks for a heartbeat because this node's is overdue, or only the peer's table has this link.
		s.emit(Send{To: from, Message: s.heartbeat(true)})
	}
}

// notifySuspect sends a peer that this node considers suspect or dead its entry, so that the peer can refute it.
func (s *State) notifySuspect(from PeerRef) {
	held, known := s.members.table[from.Node]
	if known && held.Incarnation == from.Incarnation && (held.State == MemberSuspect || held.State == MemberDead) {
		s.emit(Send{To: from, Message: MemberUpdate{Members: []Member{s.advertisedEntry(held)}}})
	}
}

// noteHeard notes a message of a peer. One of an earlier incarnation does not count for the link, because it says
// nothing about the current one.
func (s *State) noteHeard(from PeerRef) {
	member, known := s.members.table[from.Node]
	if !known {
		return
	}
	s.noteZoneHeard(member.Zone, s.now)
	if l := s.linkTo(from.Node); l != nil && from.Incarnation == member.Incarnation {
		*l = link{direction: l.direction, heard: s.now}
	}
}

// noteZoneHeard notes a message of a zone that arrived here or at a peer. One that may have been queued during a pause
// of this process is no contact, because the zone may have been cut off since.
func (s *State) noteZoneHeard(name string, at time.Duration) {
	view := s.zoneViewOf(name)
	view.silentSince = max(view.silentSince, at)
	if s.hasResumedRecently() {
		return
	}
	if !view.contacted || at > view.lastContact { // the first contact, seen by a peer, may be older than this process
		view.lastContact, view.contacted = at, true
	}
	if view.lost && s.now-view.silentSince < zoneDoubtSilence {
		s.restoreZone(name)
	}
}

// hasRecentContact reports whether a message of a zone arrived within zoneSilenceLimit, here or at a peer.
func (s *State) hasRecentContact(name string) bool {
	view := s.zoneViewOf(name)
	return view.contacted && s.now-view.lastContact < zoneSilenceLimit
}

// checkLinks suspects the peers that have been silent on a link for longer than silenceLimit. A peer that refuted the
// suspicion is not suspected again until it is heard on this link, because the link alone may be broken.
func (s *State) checkLinks() {
	for _, node := range s.linkedPeers() {
		l := s.members.overlay.links[node]
		if l.direction&linkIn != 0 && !l.reported && s.now-l.heard > silenceLimit {
			l.reported = true
			s.suspect(node)
		}
	}
}

// suspect marks an alive or leaving member as suspect and floods the suspicion. The upstream of a leaving member is
// marked as draining, so that it still gets no calls.
func (s *State) suspect(node NodeID) {
	member, known := s.members.table[node]
	if !known || member.State != MemberAlive && member.State != MemberLeaving {
		return
	}
	if member.State == MemberLeaving && member.Upstream.State == UpstreamReady {
		member.Upstream.State = UpstreamDraining
	}
	member.State = MemberSuspect
	if s.mergeMember(member) {
		s.members.detector.suspects[node] = true
		s.timers.set(timerKey{kind: timerSuspicion, node: node}, s.now+refutationTimeout)
		s.flood(MemberUpdate{Members: []Member{member}})
	}
}

// trackSuspicion starts or ends the wait for a refutation after an entry has changed. The suspicion counts as raised by
// another node.
func (s *State) trackSuspicion(member Member) {
	if member.State != MemberSuspect {
		s.clearSuspicion(member.Node)
		return
	}
	s.members.detector.suspects[member.Node] = false
	s.timers.set(timerKey{kind: timerSuspicion, node: member.Node}, s.now+witnessTimeout)
}

func (s *State) clearSuspicion(node NodeID) {
	delete(s.members.detector.suspects, node)
	s.timers.cancel(timerKey{kind: timerSuspicion, node: node})
}

// confirmSuspicion marks a suspect that did not refute the suspicion as dead. While its zone may be cut off, it waits
// instead, or marks the zone as lost.
func (s *State) confirmSuspicion(node NodeID) {
	member, known := s.members.table[node]
	if !known || member.State != MemberSuspect {
		return
	}
	view := s.zoneViewOf(member.Zone)
	if s.now-view.silentSince >= zoneSilenceLimit {
		s.markZoneLost(member.Zone)
		return
	}
	if !view.contacted || s.now-view.lastContact >= zoneDoubtSilence {
		s.timers.set(timerKey{kind: timerSuspicion, node: node}, s.now+zoneRecheckInterval)
		return
	}
	raisedHere := s.members.detector.suspects[node]
	member.State = MemberDead
	if s.mergeMember(member) && raisedHere {
		s.flood(MemberUpdate{Members: []Member{member}})
	}
}

// checkZones marks silent zones as lost, and forgets those without members.
func (s *State) checkZones() {
	for _, name := range sortedKeys(s.members.detector.zones) {
		view := s.zoneViewOf(name)
		switch {
		case view.lost || s.now-view.silentSince < zoneSilenceLimit:
		case s.hasPeersIn(name):
			s.markZoneLost(name)
		default:
			// All members left or died one by one, so this is no partition.
			delete(s.members.detector.zones, name)
			delete(s.members.detector.zoneByTag, zoneTag(name))
		}
	}
}

func (s *State) hasPeersIn(zone string) bool {
	return slices.ContainsFunc(s.members.sorted(), func(m Member) bool {
		return m.Zone == zone && m.Node != s.cfg.Self && m.isInOverlay()
	})
}

// markZoneLost marks a silent zone and its members as lost. Their links are kept, so that its return is noticed.
func (s *State) markZoneLost(name string) {
	s.zoneViewOf(name).lost = true
	s.log(LevelWarn, "zone lost", Field{"lost_zone", name})
	s.setZoneState(name, MemberLost)
}

func (s *State) restoreZone(name string) {
	s.zoneViewOf(name).lost = false
	s.noteZoneReturned(name)
	s.log(LevelInfo, "zone returned", Field{"returned_zone", name})
	s.setZoneState(name, MemberAlive)
}

// setZoneState sets the state of the members of a zone that are neither dead nor left, and ends suspicions of them. The
// links of members that become alive are reset.
func (s *State) setZoneState(name string, state MemberState) {
	for _, member := range s.members.sorted() {
		if member.Zone != name || member.Node == s.cfg.Self || !member.isInOverlay() {
			continue
		}
		s.clearSuspicion(member.Node)
		if state == MemberAlive {
			s.resetLink(member.Node)
		}
		member.State = state
		s.putMember(member)
	}
}

// handlePeerSendFailed delays the next send on the link. A refused connection means that the peer's process has ended
// and that its zone can be reached, so the peer is suspected at once.
func (s *State) handlePeerSendFailed(in PeerSendFailed) {
	member, known := s.members.table[in.To.Node]
	if !known || member.Incarnation != in.To.Incarnation {
		return
	}
	if l := s.linkTo(in.To.Node); l != nil {
		l.backoff = nextBackoff(l.backoff)
		l.retryAt = s.now + s.jitter(l.backoff)
	}
	if in.Refused {
		s.noteRefused(in.To)
		s.noteQuotaMemberRefused(member)
		s.noteZoneHeard(member.Zone, s.now)
		s.suspect(in.To.Node)
	}
}
