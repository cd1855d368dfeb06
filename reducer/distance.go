package reducer

import "time"

// Bounds and parameters of the observed distance to other zones.
const (
	// minDistance and maxDistance bound the observed distance: about the round trips to a neighbouring zone and around
	// the world. minDistance is also assumed for a zone without observations.
	minDistance = 2 * time.Millisecond
	maxDistance = 300 * time.Millisecond
	// minSpillMargin is the least difference in queue wait for which a call is sent to another zone. Users pay for
	// traffic between zones, and this wait is short compared with usual target latencies.
	minSpillMargin = 15 * time.Millisecond
	// distanceStepDivisor limits each step of the distance to a sixteenth of it, and thereby the effect of an outlier,
	// such as a call over a new connection.
	distanceStepDivisor = 16
	// distanceMaxAge is how long an observation counts. Afterwards a zone that gets no calls because it seemed far is
	// tried again.
	distanceMaxAge = time.Minute
	// firstGroupLimit is the largest distance in the first group of other zones. It doubles with each further group.
	firstGroupLimit = 2 * minDistance
	// distanceGroups is the number of groups, including this node's zone; the last one has no limit.
	distanceGroups = 6
)

// zoneDistance is the estimated time that a call to another zone takes in addition to its time at the target. It tends
// to the median of the observations.
type zoneDistance struct {
	time       time.Duration
	observedAt time.Duration // of the latest observation
}

// observeDistance updates the distance to the target's zone after an attempt was answered. took is the time that the
// target says it had the call, 0 if it does not say; a time longer than the attempt is ignored.
//
// Each observation moves the distance by at most the same fraction, however far off it is. The distance therefore
// settles at the median, which a minority of targets with wrong values cannot move beyond what the others report.
func (s *State) observeDistance(call *ingressCall, took time.Duration) {
	zone := s.members.table[call.target.Node].Zone
	elapsed := s.now - call.sentAt
	if took <= 0 || took > elapsed || zone == s.cfg.Zone {
		return
	}
	observed := min(max(elapsed-took, minDistance), maxDistance)
	distance := s.distanceOf(zone)
	switch step := distance / distanceStepDivisor; {
	case !s.hasRecentDistance(zone):
		distance = observed
	case observed > distance:
		distance = min(distance+step, observed)
	default:
		distance = max(distance-step, observed)
	}
	s.members.distances[zone] = zoneDistance{time: distance, observedAt: s.now}
}

func (s *State) hasRecentDistance(zone string) bool {
	observed, ok := s.members.distances[zone]
	return ok && s.now-observed.observedAt <= distanceMaxAge
}

// distanceOf returns the distance to a zone: 0 for this node's own, minDistance without a recent observation.
func (s *State) distanceOf(zone string) time.Duration {
	switch {
	case zone == s.cfg.Zone:
		return 0
	case s.hasRecentDistance(zone):
		return s.members.distances[zone].time
	default:
		return minDistance
	}
}

// spillMargin returns by how much the queue wait in this node's zone may exceed that in another zone before calls are
// sent there. It is half of the distance, because a waiting call also delays those behind it, whereas the network time
// delays only the call itself. With the full distance, queues in this region grow to it at full load.
func (s *State) spillMargin(zone string) time.Duration {
	if zone == s.cfg.Zone {
		return 0
	}
	return max(s.distanceOf(zone)/2, minSpillMargin)
}

// extraHopTime returns the network time to a zone that hopMargin does not cover.
func (s *State) extraHopTime(zone string) time.Duration {
	return max(s.distanceOf(zone)-minDistance, 0)
}

// timeLeftAt returns the time that a call may take at an upstream so that the response arrives before the deadline. At
// most half of the time left is set aside for a long distance, because the observation may be wrong.
func (s *State) timeLeftAt(m Member, call *ingressCall) time.Duration {
	left := call.deadline - s.now - hopMargin
	return left - min(s.extraHopTime(m.Zone), left/2)
}

// distanceGroup returns the group of a zone by its distance: 0 for this node's zone, 1 for the nearest other zones.
func (s *State) distanceGroup(zone string) int {
	if zone == s.cfg.Zone {
		return 0
	}
	group, distance := 1, s.distanceOf(zone)
	for limit := firstGroupLimit; distance > limit && group < distanceGroups-1; limit *= 2 {
		group++
	}
	return group
}
