package reducer

import "time"

// Figures of the distance to other zones.
const (
	// minDistance is assumed of another zone that has not been observed, and maxDistance bounds what is
	// observed: about the round trips to the next zone and around the world.
	minDistance = 2 * time.Millisecond
	maxDistance = 300 * time.Millisecond
	// zoneMargin is the wait that a call takes in its own zone before it is sent to another one: users pay for the bytes
	// between zones, and the wait is small against the time in which responses have their full worth.
	zoneMargin = 15 * time.Millisecond
	// distanceStep is the part by which an observation moves the distance towards itself. It bounds the
	// weight of an observation that is wrong, such as one over a new connection.
	distanceStep = 16
	// distanceFresh is how long an observation counts. A zone that gets no calls because it seems far
	// is tried again afterwards.
	distanceFresh = time.Minute
	// nearLimit is the limit of the first group of zones; that of each further one is twice as high.
	nearLimit = 2 * minDistance
	// distanceGroups is the number of groups; the last one has no limit.
	distanceGroups = 6
)

// zoneDistance is the time that a call to another zone takes on top of the time at the target: the median of
// what was observed.
type zoneDistance struct {
	time time.Duration
	at   time.Duration // of the newest observation
}

// observeDistance learns from an answered attempt, when the target said how long it had the call. A target
// that names more than the whole time is not believed.
//
// Each observation moves the distance by the same part, however far off it is. The distance therefore
// settles at the median, which a minority of misleading targets cannot move beyond what the others observe.
func (s *State) observeDistance(call *ingressCall, took time.Duration) {
	zone := s.members.table[call.target.Node].Zone
	elapsed := s.now - call.sentAt
	if took <= 0 || took > elapsed || zone == s.cfg.Zone {
		return
	}
	seen := min(max(elapsed-took, minDistance), maxDistance)
	distance := s.distanceOf(zone)
	switch step := distance / distanceStep; {
	case !s.distanceKnown(zone):
		distance = seen
	case seen > distance:
		distance = min(distance+step, seen)
	default:
		distance = max(distance-step, seen)
	}
	s.members.distances[zone] = zoneDistance{time: distance, at: s.now}
}

func (s *State) distanceKnown(zone string) bool {
	observed, ok := s.members.distances[zone]
	return ok && s.now-observed.at <= distanceFresh
}

// distanceOf returns the distance to a zone, 0 for the own one.
func (s *State) distanceOf(zone string) time.Duration {
	switch {
	case zone == s.cfg.Zone:
		return 0
	case s.distanceKnown(zone):
		return s.members.distances[zone].time
	default:
		return minDistance
	}
}

// spillMargin returns the wait that the own zone may exceed that in another zone by before calls go there. It
// is half of the distance: a call that waits also holds up those behind it, while the way is its own. With
// all of the distance the queues of the own region grow to it at full load.
func (s *State) spillMargin(zone string) time.Duration {
	if zone == s.cfg.Zone {
		return 0
	}
	return max(s.distanceOf(zone)/2, zoneMargin)
}

// extraHop returns the time by which the way to a zone is longer than hopMargin allows for.
func (s *State) extraHop(zone string) time.Duration {
	return max(s.distanceOf(zone)-minDistance, 0)
}

// timeLeftAt returns the time that a call may take at an upstream, so that the answer arrives in time. A long
// way takes half of it at most, because an observed distance may be wrong.
func (s *State) timeLeftAt(m Member, call *ingressCall) time.Duration {
	left := call.deadline - s.now - hopMargin
	return left - min(s.extraHop(m.Zone), left/2)
}

// distanceGroup returns the group of a zone: 0 for the own zone, 1 for the nearest others.
func (s *State) distanceGroup(zone string) int {
	if zone == s.cfg.Zone {
		return 0
	}
	group, distance := 1, s.distanceOf(zone)
	for limit := nearLimit; distance > limit && group < distanceGroups-1; limit *= 2 {
		group++
	}
	return group
}
