package reducer

// subsetSize is the number of upstreams of a service, in this node's zone and again in all others together, to which a node
// sends calls while they are not busy.
//
// A node that spreads its calls over hundreds of upstreams opens a connection for nearly each call, which costs ten times
// the call itself, and learns the load of each upstream too rarely to use it: at 20 calls a second over 37 upstreams a
// report is 2 s old, and reports count for reportMaxAge.
const subsetSize = 12

// markSubset marks the upstreams that this node prefers. Nodes take windows of subsetSize upstreams, in the order of names,
// that are shifted evenly over the nodes of the zone, so that each upstream is in the windows of about as many nodes as any
// other. A member that joins or leaves moves a window by one upstream at most.
func (s *State) markSubset(serving []*servingUpstream) {
	var near, far []*servingUpstream
	for _, u := range serving {
		if u.Zone == s.cfg.Zone {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	index, nodes, indexInZone, nodesInZone := s.placeAmongNodes()
	markWindow(near, indexInZone, nodesInZone)
	markWindow(far, index, nodes)
	for _, u := range near {
		u.preferred = u.preferred || u.Node == s.cfg.Self
	}
}

// placeAmongNodes returns the index of this node among all live nodes and their number, and the same for its zone.
func (s *State) placeAmongNodes() (index, nodes, indexInZone, nodesInZone int) {
	for _, m := range s.members.sorted() {
		if m.Node != s.cfg.Self && m.State != MemberAlive {
			continue
		}
		inZone := m.Zone == s.cfg.Zone
		if m.Node < s.cfg.Self {
			index++
			if inZone {
				indexInZone++
			}
		}
		nodes++
		if inZone {
			nodesInZone++
		}
	}
	return index, max(nodes, 1), indexInZone, max(nodesInZone, 1)
}

// markWindow marks the window of the node with the given index among so many nodes.
func markWindow(upstreams []*servingUpstream, index, nodes int) {
	first := index * len(upstreams) / nodes
	for i := range min(subsetSize, len(upstreams)) {
		upstreams[(first+i)%len(upstreams)].preferred = true
	}
}

// pickInGroup picks an upstream of a distance group: one of the subset or, if the one picked there is busy, a less busy one
// of the whole group.
func (s *State) pickInGroup(group []*servingUpstream, c criteria) *servingUpstream {
	subset := s.members.choice.subset[:0]
	for _, u := range group {
		if u.preferred {
			subset = append(subset, u)
		}
	}
	s.members.choice.subset = subset
	if len(subset) == 0 || len(subset) == len(group) {
		return s.pickLessLoaded(group, c)
	}
	u := s.pickLessLoaded(subset, c)
	if s.penalizedWait(u, c.priority) <= minSpillMargin {
		return u
	}
	other := s.pickLessLoaded(group, c)
	if s.choiceCost(other, c)+minSpillMargin < s.choiceCost(u, c) {
		return other
	}
	return u
}
