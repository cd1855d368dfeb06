package reducer

import "time"

// LargeBodyBytes is the longest request body that travels with its call when the link is known. A larger one is sent ahead,
// once the target has accepted it. At 10 Mbit/s it takes 13 ms.
const LargeBodyBytes = 16 << 10

// UploadOffered reports that a peer asks whether this node takes the body of a call, which is sent before the call.
// AnswerUpload answers. It promises nothing about the call, which is admitted or refused when it arrives.
type UploadOffered struct {
	Exchange          Handle
	ID                CallID
	Attempt           int
	Route             string
	Pool              string
	Priority          int
	Idempotent        bool
	Bytes             int64
	TimeLeft          time.Duration
	TargetIncarnation Incarnation
}

// AnswerUpload answers UploadOffered. If the body is not accepted, the call has not run and is not sent.
type AnswerUpload struct {
	Exchange Handle
	Accepted bool
	Reason   Reason
	Load     LoadReport
}

func (UploadOffered) input() {}
func (AnswerUpload) effect() {}

// CallHandle returns the handle of the goroutine that carries out the effect.
func (e AnswerUpload) CallHandle() Handle { return e.Exchange }

// sendsBodyAhead reports whether a body of a length is sent before its call.
func (s *State) sendsBodyAhead(bytes int64) bool {
	return s.links.out.Enabled() && bytes > LargeBodyBytes
}

// handleUploadOffered decides whether the body of a call is sent to this node.
func (s *State) handleUploadOffered(in UploadOffered) {
	reason := s.uploadRefusal(in)
	if reason == ReasonNone {
		s.links.in.Leave(in.Bytes, s.now) // the peer sends it now
	}
	s.emit(AnswerUpload{Exchange: in.Exchange, Accepted: reason == ReasonNone, Reason: reason, Load: s.loadReport()})
}

// uploadRefusal returns why the call of a body would be refused, so far as it is known before it arrives, or why the link
// cannot carry the body in time.
func (s *State) uploadRefusal(in UploadOffered) Reason {
	call := &targetCall{
		id: in.ID, attempt: in.Attempt, route: in.Route, pool: in.Pool, priority: in.Priority, idempotent: in.Idempotent,
		bytes: in.Bytes, deadline: s.now + in.TimeLeft,
	}
	pool, ok := s.config.active.PoolOfService(s.backend.service)
	q := &s.target.queue
	switch {
	case in.TargetIncarnation != s.cfg.Incarnation:
		return ReasonWrongIncarnation
	case s.shutdown.refusesForwardedCalls():
		return ReasonLeaving
	case s.target.cancelled.covers(in.ID, in.Attempt):
		return ReasonCallerGone
	case s.backend.state == UpstreamDraining:
		return ReasonDraining
	case s.backend.state != UpstreamReady || !ok || s.isForOtherService(call):
		return ReasonNoUpstream
	case !call.idempotent && s.isRecordTableFull():
		return ReasonRecordsFull
	case s.cannotMeetDeadline(call, pool) || s.linkTooSlowFor(call):
		return ReasonDeadline
	case s.target.queuedBytes+call.bytes > s.cfg.Limits.MaxQueuedBytes || q.count >= pool.QueueLimit && q.evictionCandidate(call.priority, pool) == nil:
		return ReasonQueueFull
	}
	return ReasonNone
}

// linkTooSlowFor reports whether the body of a call cannot arrive in time to run.
func (s *State) linkTooSlowFor(call *targetCall) bool {
	service, _ := s.expectedService(call)
	left := call.deadline - s.now
	if s.links.in.Carries(call.bytes, left-service, s.now) {
		return false
	}
	s.links.refused++
	s.emit(Log{Level: LevelInfo, Message: "upload is refused, the link is full", PerCall: true, Fields: []Field{
		{"call", call.id}, {"route", call.route}, {"bytes", call.bytes}, {"link_backlog", s.links.in.Backlog(s.now)}, {"time_left", left},
	}})
	return true
}

// receiveLinkRefuses reports whether the body of a new call cannot arrive from its caller in time. Otherwise it counts on the
// link. The backend server beside this node does not use the link. A call with an idempotency key is not refused here,
// because its outcome may be known elsewhere.
func (s *State) receiveLinkRefuses(call *ingressCall) bool {
	if !s.sendsBodyAhead(call.reservedBytes) || call.limits.Depth > 1 {
		return false
	}
	if call.key == "" && !s.links.in.Carries(call.reservedBytes, call.deadline-s.now, s.now) {
		s.links.refused++
		return true
	}
	s.links.in.Leave(call.reservedBytes, s.now)
	return false
}

// uploadBacklog returns the backlog of the receiving link of an upstream, 0 if it is not known.
func (s *State) uploadBacklog(u *servingUpstream) time.Duration {
	if u.Node == s.cfg.Self || !u.load.hasFreshReport(s.now, reportMaxAge) {
		return 0
	}
	return max(u.load.report.LinkInBacklog-(s.now-u.load.reportedAt), 0) + s.links.in.Time(u.load.uploadBytesSent)
}

// uploadTime returns how long the body of a call is expected to take to an upstream: from its caller, unless it is here, and
// over the links of both nodes.
func (s *State) uploadTime(u *servingUpstream, call *ingressCall) time.Duration {
	here := time.Duration(0)
	if call.phase == 0 && call.limits.Depth <= 1 {
		here = s.links.in.Backlog(s.now) + s.links.in.Time(call.reservedBytes)
	}
	if u.Node == s.cfg.Self {
		return here
	}
	return max(here, s.links.out.Backlog(s.now), s.uploadBacklog(u)) + s.links.out.Time(call.reservedBytes)
}
