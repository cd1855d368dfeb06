package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// noteVersions records the versions of the upstreams of a service, each with the start of the node that has run longest.
func (s *State) noteVersions(service string, members []Member) {
	if !s.cfg.Rollouts.Enabled {
		return
	}
	var versions []rollout.Upstream
	for _, m := range members {
		if m.State == MemberDead || m.State == MemberLeft || m.Upstream.State == UpstreamDown {
			continue
		}
		i := slices.IndexFunc(versions, func(u rollout.Upstream) bool { return u.Version == m.Upstream.Version })
		if i < 0 {
			versions = append(versions, rollout.Upstream{Version: m.Upstream.Version, Started: uint64(m.Incarnation)})
			continue
		}
		versions[i].Started = min(versions[i].Started, uint64(m.Incarnation))
	}
	if s.members.choice.versions == nil {
		s.members.choice.versions = map[string][]rollout.Upstream{}
	}
	s.members.choice.versions[service] = versions
}

// versionClass returns what this node may use a version of a service for.
func (s *State) versionClass(service, version string) rollout.Class {
	if !s.cfg.Rollouts.Enabled {
		return rollout.InUse
	}
	s.servingUpstreams(service) // updates the versions
	return s.rollouts.view.Class(service, version, s.members.choice.versions[service], s.now)
}

// isOwnVersionForbidden reports whether the backend server beside this node has a version that gets no calls. Peers that
// have not heard of it yet are refused here.
func (s *State) isOwnVersionForbidden() bool {
	return s.backend.service != "" && s.versionClass(s.backend.service, s.backend.version) == rollout.Forbidden
}

// permittedUpstreams returns the serving upstreams of a service whose versions may be used. The next call overwrites the
// slice, which the caller must not modify.
func (s *State) permittedUpstreams(service string) []*servingUpstream {
	serving := s.servingUpstreams(service)
	if !s.cfg.Rollouts.Enabled {
		return serving
	}
	forbidden := func(u *servingUpstream) bool {
		return s.rollouts.view.Class(service, u.Upstream.Version, s.members.choice.versions[service], s.now) == rollout.Forbidden
	}
	if !slices.ContainsFunc(serving, forbidden) {
		return serving
	}
	permitted := s.members.choice.permitted[:0]
	for _, u := range serving {
		if !forbidden(u) {
			permitted = append(permitted, u)
		}
	}
	s.members.choice.permitted = permitted
	return permitted
}

// drawVersion removes, in place, the upstreams of the versions that the next attempt does not go to. An attempt for which
// the new version is drawn goes to the version in use if there is no upstream of the new one, and not the other way round:
// the new version gets its share at most.
func (s *State) drawVersion(service string, upstreams []*servingUpstream) []*servingUpstream {
	if !s.cfg.Rollouts.Enabled || s.rollouts.view.Update(service).State != rollout.Running {
		return upstreams
	}
	return s.keepVersion(service, upstreams, s.rollouts.view.Draw(service, s.rand, s.now))
}

// keepVersion keeps the upstreams of the new version, if there are any, or those of the version in use.
func (s *State) keepVersion(service string, upstreams []*servingUpstream, isNew bool) []*servingUpstream {
	target := s.rollouts.view.Update(service).Version
	ofTarget := func(u *servingUpstream) bool { return u.Upstream.Version == target }
	if isNew && slices.ContainsFunc(upstreams, ofTarget) {
		return slices.DeleteFunc(upstreams, func(u *servingUpstream) bool { return !ofTarget(u) })
	}
	return slices.DeleteFunc(upstreams, ofTarget)
}

// majorityVersion keeps, in place, the upstreams of the version that gets most calls. The other ones are idle and say
// nothing about the load of the service.
func (s *State) majorityVersion(service string, upstreams []*servingUpstream) []*servingUpstream {
	update := s.rollouts.view.Update(service)
	if !s.cfg.Rollouts.Enabled || update.State != rollout.Running {
		return upstreams
	}
	return s.keepVersion(service, upstreams, update.Share >= 0.5)
}

// upstreamsOfKey returns the upstreams among which the owner of an idempotency key is chosen, by a hash of the key. During
// a roll-out they are of one version, so that the new one gets no more keys than its share.
func (s *State) upstreamsOfKey(service string, hash uint64) []*servingUpstream {
	permitted := s.permittedUpstreams(service)
	if !s.cfg.Rollouts.Enabled || s.rollouts.view.Update(service).State != rollout.Running {
		return permitted
	}
	return s.keepVersion(service, slices.Clone(permitted), s.rollouts.view.KeyIsNew(service, mixBits(hash)))
}

// ranksFirstInVersion reports whether this node owns the key of a call among the upstreams of its version. The share of
// the new version may have changed here or at the sender, which has asked the owners of the other version.
func (s *State) ranksFirstInVersion(call *targetCall) bool {
	own := keyWeight(s.cfg.Self, call.route, call.key)
	for _, u := range s.permittedUpstreams(s.backend.service) {
		if u.Upstream.Version == s.backend.version && keyWeight(u.Node, call.route, call.key) > own {
			return false
		}
	}
	return !s.isOwnVersionForbidden() && s.rollouts.view.Update(s.backend.service).State == rollout.Running
}

// ownersInOtherVersions returns the upstreams that own a key among those of their version, if traffic of the service has
// moved between versions within the horizon: they may have its record.
func (s *State) ownersInOtherVersions(call *ingressCall, service string, owner Member, horizon time.Duration) map[NodeID]bool {
	if !s.hasMovedWithin(service, horizon) {
		return nil
	}
	first := map[string]Member{}
	for _, m := range s.members.ofService(service) {
		held, known := first[m.Upstream.Version]
		if m.isGone() || known && keyWeight(held.Node, call.route.Name, call.key) > keyWeight(m.Node, call.route.Name, call.key) {
			continue
		}
		first[m.Upstream.Version] = m
	}
	owners := map[NodeID]bool{}
	for version, m := range first {
		owners[m.Node] = version != owner.Upstream.Version
	}
	return owners
}

// hasMovedWithin reports whether a roll-out moved traffic of a service within the horizon.
func (s *State) hasMovedWithin(service string, horizon time.Duration) bool {
	at, moved := s.rollouts.movedAt[service]
	return moved && s.now-at < horizon
}
