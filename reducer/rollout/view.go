package rollout

import (
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Class says what a node may use a version for.
type Class uint8

// The classes of versions.
const (
	Forbidden Class = iota // gets no calls
	InUse                  // gets the calls that are not for the new version
	New                    // gets its share
)

// syncTimeout is how long a node that has started waits for the states of the roll-outs before it takes the version of the
// upstream that has run longest as the one in use. Without states it could use a version that was replaced.
const syncTimeout = 5 * time.Second

// silentShareAfter is the time without a repetition of the state after which a node reduces the share of the new version: two
// repetitions were lost. Three more seconds with 40 of 100 calls would use more than the whole exposure of 12 s.
const silentShareAfter = 1200 * time.Millisecond

// Upstream is what a node knows of an upstream of a service.
type Upstream struct {
	Version string
	Started uint64 // start of the node beside it
}

// service is what a node knows of the versions of a service.
type service struct {
	update   Update
	heard    time.Duration // when the state was last repeated
	inUse    string        // version in use, as long as no state is known
	hasInUse bool
	position uint64 // in the sequence of draws
	drawn    bool
	wasBound bool // the permission to use the old version has ended, and this was noted
}

// View is what a node knows of all roll-outs, by which it chooses among upstreams.
type View struct {
	// Silence is the time after which a node that has not heard of a roll-out uses its new version no more, unless the
	// roll-out is guarded: it may have been halted. 0 for no bound.
	Silence time.Duration
	// CutOff is set while other nodes of the zone cannot be reached. They may take this node for dead and end a roll-out
	// without it: after Silence it uses neither version.
	CutOff bool

	syncFrom time.Duration // since when the states are not known
	services map[string]*service
	synced   bool
}

// Synced reports whether the node has learned the states of all roll-outs.
func (v *View) Synced() bool { return v.synced }

// Suspend notes that this process was paused: states may have changed, and are unknown until a peer or the store tells.
func (v *View) Suspend(now time.Duration) { v.synced, v.syncFrom = false, now }

// lacksStates reports whether the states may be unknown. It ends after syncTimeout, because no one may be left to ask.
func (v *View) lacksStates(now time.Duration) bool { return !v.synced && now-v.syncFrom < syncTimeout }

// SetSynced notes that the node has learned the states of all roll-outs.
func (v *View) SetSynced() { v.synced = true }

func (v *View) service(name string) *service {
	if v.services == nil {
		v.services = map[string]*service{}
	}
	if v.services[name] == nil {
		v.services[name] = &service{}
	}
	return v.services[name]
}

// names returns the services in order, so that nothing depends on the order of a map.
func (v *View) names() []string { return slices.Sorted(maps.Keys(v.services)) }

// Update returns the newest update of a service, or a zero one.
func (v *View) Update(name string) Update {
	if s := v.services[name]; s != nil {
		return s.update
	}
	return Update{}
}

// Updates returns the newest update of each service, without those that have none.
func (v *View) Updates() []Update {
	var updates []Update
	for _, name := range v.names() {
		if u := v.services[name].update; u.Revision > 0 {
			updates = append(updates, u)
		}
	}
	return updates
}

// Apply takes an update if it is newer and reports whether it did. A halt of an order stays: only the end of the roll-out
// or another order replaces it.
func (v *View) Apply(u Update, now time.Duration) bool {
	s := v.service(u.Service)
	if !u.Supersedes(s.update) {
		return false
	}
	if u.KeepsHalt(s.update) {
		u.Halted = true
		if !u.Supersedes(s.update) {
			return false
		}
	}
	s.update, s.heard, s.wasBound = u, now, false
	return true
}

// Class returns what a node may use a version of a service for. upstreams are those of the service that are not gone.
func (v *View) Class(name, version string, upstreams []Upstream, now time.Duration) Class {
	s := v.service(name)
	inUse, target, rule := s.update.From, s.update.Version, s.update
	silent := v.Silence > 0 && now-s.heard >= v.Silence
	switch {
	case v.lacksStates(now) && !(version == "" && isOnlyVersion("", upstreams)):
		return Forbidden
	case rule.State == None:
		if !v.determineInUse(s, upstreams) {
			return Forbidden
		}
		inUse, target = s.inUse, ""
	case rule.State == Running && !rule.Halted:
		if silent && !rule.Guarded && (version == target || v.CutOff) {
			return Forbidden
		}
		if version == target {
			return New
		}
		if rule.Final || s.isLapsed(now) {
			return Forbidden
		}
	case rule.State == Succeeded:
		inUse, target = target, rule.From
	}
	if version == inUse || version == "" && rule.State != Succeeded { // nodes of an earlier release state no version
		return InUse
	}
	if version != target && isOnlyVersion(version, upstreams) && rule.State != Running {
		return InUse // the upstreams of the version in use were replaced without an order
	}
	return Forbidden
}

// isLapsed reports whether the permission to use the old version of a guarded roll-out has ended.
func (s *service) isLapsed(now time.Duration) bool {
	return s.update.Guarded && now-s.heard >= PermissionTTL
}

// isOnlyVersion reports whether all upstreams have one version.
func isOnlyVersion(version string, upstreams []Upstream) bool {
	for _, u := range upstreams {
		if u.Version != version {
			return false
		}
	}
	return true
}

// determineInUse sets the version in use of a service without a state: that of the upstream whose node has run longest. It
// stays while it has upstreams.
func (v *View) determineInUse(s *service, upstreams []Upstream) bool {
	if len(upstreams) == 0 {
		return s.hasInUse
	}
	oldest := upstreams[0]
	for _, u := range upstreams {
		if s.hasInUse && u.Version == s.inUse {
			return true
		}
		if u.Started < oldest.Started {
			oldest = u
		}
	}
	s.inUse, s.hasInUse = oldest.Version, true
	return true
}

// InUse returns the version in use of a service: that of the last state or, without one, the one determined before.
func (v *View) InUse(name string, upstreams []Upstream) (string, bool) {
	s := v.service(name)
	switch s.update.State {
	case None:
		known := v.determineInUse(s, upstreams)
		return s.inUse, known
	case Succeeded:
		return s.update.Version, true
	default:
		return s.update.From, true
	}
}

// goldenRatioStep is 2^64 divided by the golden ratio; see reducer/split.go.
const goldenRatioStep = 0x9e3779b97f4a7c15

// Draw reports whether the next call of a service goes to the new version. The first draw starts at a random place, so
// that nodes that start together do not send their first calls to the new version at once. While the state is not repeated,
// nobody may look at the responses, and the share is that of the first step, as long as the old version may be used. (Keys
// keep theirs: they would change owners.)
func (v *View) Draw(name string, random uint64, now time.Duration) bool {
	s := v.service(name)
	if !s.drawn {
		s.position, s.drawn = random, true
	}
	s.position += goldenRatioStep
	share := s.share()
	if now-s.heard >= silentShareAfter && !s.update.Final && !s.isLapsed(now) {
		share = min(share, firstShare)
	}
	return isWithin(s.position, share)
}

// KeyIsNew reports whether calls with an idempotency key go to the new version, by a hash of the key: all nodes agree.
func (v *View) KeyIsNew(name string, hash uint64) bool {
	return isWithin(hash, v.service(name).share())
}

// share returns the part of the calls that go to the new version.
func (s *service) share() float64 {
	if s.update.State != Running || s.update.Halted {
		return 0
	}
	return s.update.Share
}

func isWithin(position uint64, share float64) bool {
	if share >= 1 {
		return true
	}
	high, _ := bits.Mul64(position, 1<<32)
	return float64(high) < share*math.Exp2(32)
}

// Running returns the updates of the roll-outs that are running.
func (v *View) Running() []Update {
	var running []Update
	for _, name := range v.names() {
		if u := v.services[name].update; u.State == Running {
			running = append(running, u)
		}
	}
	return running
}

// Lapsed returns the services whose old version this node has stopped using by itself, once each.
func (v *View) Lapsed(now time.Duration) []Update {
	var lapsed []Update
	for _, name := range v.names() {
		s := v.services[name]
		if s.update.State == Running && !s.update.Halted && s.isLapsed(now) && !s.wasBound {
			s.wasBound = true
			lapsed = append(lapsed, s.update)
		}
	}
	return lapsed
}
