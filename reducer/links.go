package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/bandwidth"
)

// linkSpread is by how much the backlogs of links may differ before the shorter one is preferred. Reports are about as old as
// the pause between two answers of a node.
const linkSpread = 50 * time.Millisecond

// lateLinkBacklog is the backlog of a link up to which it takes the response to a late call. With a longer one, late calls would
// make the responses to all others late as well, and none more would be served.
const lateLinkBacklog = 250 * time.Millisecond

// linkTimeLeft returns how long the link may take for the response to a call: until its due time or, without one, its deadline.
func linkTimeLeft(now, due, deadline time.Duration) time.Duration {
	switch {
	case due == 0:
		return deadline - now
	case due > now:
		return min(due, deadline) - now
	default:
		return min(deadline-now, lateLinkBacklog)
	}
}

// linkState holds what this node knows of the link of its instance. It is disabled unless Config.LinkMbps is set.
type linkState struct {
	out     bandwidth.Link
	in      bandwidth.Link
	refused uint64 // calls that were refused because of the link
}

func newLinkState(mbps float64) linkState {
	return linkState{out: bandwidth.New(mbps), in: bandwidth.New(mbps)}
}

// usesLink reports whether the response to a call leaves over the link. That to the backend server beside this node does not.
func (c *targetCall) usesLink() bool { return !c.local || c.limits.Depth <= 1 }

// linkRefuses reports whether the response to a new call on a streaming route is not expected to leave in time.
func (s *State) linkRefuses(call *targetCall) bool {
	if !s.links.out.Enabled() || !call.streaming || !call.usesLink() {
		return false
	}
	service, _ := s.expectedService(call)
	left := linkTimeLeft(s.now, call.due, call.deadline)
	if call.due > 0 && call.due <= s.now { // the backlog is bounded, not the time of the execution
		left = min(left+service, call.deadline-s.now)
	}
	if s.links.out.Admits(call.route, service, left, s.now) {
		return false
	}
	s.logLinkRefusal(call, left)
	return true
}

// linkTooSlow is linkRefuses for a queued call that is about to start.
func (s *State) linkTooSlow(call *targetCall) bool {
	service, _ := s.expectedService(call)
	left := call.deadline - s.now
	if s.links.out.AdmitsStart(uint64(call.handle), service, left, s.now) {
		return false
	}
	s.logLinkRefusal(call, left)
	return true
}

func (s *State) logLinkRefusal(call *targetCall, left time.Duration) {
	s.links.refused++
	s.emit(Log{Level: LevelInfo, Message: "call is refused, the link is full", PerCall: true, Fields: []Field{
		{"request", call.requestID}, {"call", call.id}, {"route", call.route}, {"expected_bytes", s.links.out.Expected(call.route, s.now)},
		{"link_backlog", s.links.out.Backlog(s.now)}, {"time_left", left},
	}})
}

// promiseLink keeps a part of the link for the response to a call that was admitted.
func (s *State) promiseLink(call *targetCall) {
	if call.streaming && call.usesLink() {
		s.links.out.Promise(uint64(call.handle), s.links.out.Expected(call.route, s.now))
	}
}

// settleLink replaces what was promised to a call by the response of the backend server, if somebody waits for it.
func (s *State) settleLink(call *targetCall, in BackendRequestDone) {
	if in.Result != BackendAnswered {
		return
	}
	if call.streaming {
		s.links.out.Observe(call.route, in.Bytes, s.now)
	}
	if !call.abandoned && call.usesLink() {
		s.links.out.Complete(uint64(call.handle), in.Bytes, s.now)
	}
}

// linkTime returns how long the body of a call, or its response, is expected to take over the links, 0 if that is not known.
// Instances are assumed to have links of one rate.
func (s *State) linkTime(u *servingUpstream, call *ingressCall) time.Duration {
	switch {
	case s.sendsBodyAhead(call.reservedBytes):
		return s.uploadTime(u, call)
	case !s.links.out.Enabled() || !call.route.Streaming || u.Node == s.cfg.Self && call.limits.Depth > 1:
		return 0
	case u.Node != s.cfg.Self && !u.load.hasFreshReport(s.now, reportMaxAge):
		return 0
	}
	return s.downloadBacklog(u) + s.links.out.Time(s.links.out.Expected(call.route.Name, s.now))
}

// downloadBacklog returns the backlog of the sending link of an upstream, 0 if it is not known.
func (s *State) downloadBacklog(u *servingUpstream) time.Duration {
	switch {
	case u.Node == s.cfg.Self:
		return s.links.out.Backlog(s.now)
	case !u.load.hasFreshReport(s.now, reportMaxAge):
		return 0
	}
	return max(u.load.report.LinkBacklog-(s.now-u.load.reportedAt), 0) + s.links.out.Time(u.load.linkBytesSent)
}

// noteLinkSent counts the body of a call that is sent to an upstream, and its response until the next report.
func (s *State) noteLinkSent(call *ingressCall, load *upstreamLoad) {
	if s.sendsBodyAhead(call.reservedBytes) {
		s.links.out.Leave(call.reservedBytes, s.now)
		load.uploadBytesSent += call.reservedBytes
	}
	if call.route.Streaming {
		load.linkBytesSent += s.links.out.Expected(call.route.Name, s.now)
	}
}

// observeLinkUse records the response to a forwarded call: its length, and that it leaves to the caller over the link.
func (s *State) observeLinkUse(call *ingressCall, in ForwardDone) {
	if in.Result != ForwardAnswered || in.Outcome != OutcomeDone {
		return
	}
	if call.route.Streaming {
		s.links.out.Observe(call.route.Name, in.Bytes, s.now)
	}
	if call.limits.Depth <= 1 {
		s.links.out.Leave(in.Bytes, s.now)
	}
}

// preferShortLinks removes, in place, the upstreams whose links have a longer backlog than the shortest by more than
// linkSpread.
func (s *State) preferShortLinks(upstreams []*servingUpstream, call *ingressCall) []*servingUpstream {
	backlog := s.downloadBacklog
	switch {
	case s.sendsBodyAhead(call.reservedBytes):
		backlog = s.uploadBacklog
	case !s.links.out.Enabled() || !call.route.Streaming:
		return upstreams
	}
	shortest := maxWait
	for _, u := range upstreams {
		shortest = min(shortest, backlog(u))
	}
	return slices.DeleteFunc(upstreams, func(u *servingUpstream) bool { return backlog(u) > shortest+linkSpread })
}

// linkRefusesEarly reports whether fresh load reports of all usable upstreams say that their links cannot carry the body of a
// new call, or its response, in time. One in earlyRefusalsPerProbe such calls is let through.
func (s *State) linkRefusesEarly(call *ingressCall) bool {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok || !s.links.out.Enabled() || !call.route.Streaming && !s.sendsBodyAhead(call.reservedBytes) {
		return false
	}
	usable := s.usableUpstreams(pool.Service, nil)
	for _, u := range usable {
		if u.Node != s.cfg.Self && !u.load.hasFreshReport(s.now, earlyReportMaxAge) || s.linkTime(u, call) <= linkTimeLeft(s.now, call.due, call.deadline) {
			return false
		}
	}
	if len(usable) == 0 || s.random(earlyRefusalsPerProbe) == 0 {
		return false
	}
	s.links.refused++
	return true
}
