package reducer

// dispatchToOwner starts the next attempt of a call with an idempotency key at the owner of the key. When the owner may
// have changed, it first asks every other node that may have a record of the key. Each of them fences the key, so that
// the call runs at the owner or not at all.
func (s *State) dispatchToOwner(call *ingressCall) {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		s.failCall(call, call.outcomeBetweenAttempts(), ReasonNoRoute)
		return
	}
	ranking := s.keyRanking(pool.Service, call.route.Name, call.key)
	switch {
	case len(ranking) == 0:
		s.retryOrFail(call, call.outcomeBetweenAttempts(), ReasonNoUpstream)
	case s.mayHaveLostRecord(call, pool.Service, ranking[0]):
		s.failCall(call, OutcomeUnknown, ReasonKeyOwnerLost)
	default:
		if owner := ranking[0].Node; call.keyOwner != owner {
			call.keyOwner, call.askedHolders = owner, nil
		}
		s.askHolders(call, s.keyHolders(call, pool.Service, ranking), ranking[0])
	}
}

// askHolders asks the next node that may have a record of the call's key, or sends the call to the owner when all have
// been asked.
func (s *State) askHolders(call *ingressCall, holders []Member, owner Member) {
	for _, holder := range holders {
		if containsNode(call.askedHolders, holder.Node) {
			continue
		}
		call.askedHolders = append(call.askedHolders, holder.Node)
		if holder.Node != s.cfg.Self {
			s.askHolder(call, holder)
			return
		}
		if s.answerFromOwnRecord(call) {
			return
		}
	}
	s.startAttempt(call, owner)
}

func (s *State) askHolder(call *ingressCall, holder Member) {
	call.attempt++
	call.target = holder.Ref()
	s.setPhase(call, ingressAskingHolder)
	s.requestOutcome(call.handle)
}

// answerFromOwnRecord answers a call from the record of its key at this node, which does not own the key, or lets it
// wait for the outcome. Without a record it fences the key here and returns false.
func (s *State) answerFromOwnRecord(call *ingressCall) bool {
	r := s.target.records.byKey[executionKey(call.id, call.route.Name, call.key)]
	switch {
	case r == nil:
		s.fence(SettleArrived{
			ID: call.id, Attempt: call.attempt, Route: call.route.Name, Key: call.key, KeyRetention: call.route.KeyRetention,
			TakeKey: true,
		})
		return false
	case r.reason == ReasonKeyMoved:
		r.extendFence(SettleArrived{ID: call.id, Attempt: call.attempt, TakeKey: true})
		return false
	}
	s.setPhase(call, ingressLocal)
	if r.state == recordConcluded {
		s.handleAttemptAnswered(call, r.outcome, r.reason, r.call)
	} else {
		r.waiters = append(r.waiters, waiter{exchange: call.handle, kind: waitLocal})
	}
	return true
}

// isCertainlyNotRun reports whether a refusal may say that the call did not run. No attempt may have been lost or still
// be open. A call with an idempotency key must also be the first request with its key, not yet sent to any node or
// asked for there, because a repeat may overtake it while it waits; or the owner of the key must have answered that it
// did not run.
func (c *ingressCall) isCertainlyNotRun() bool {
	if c.mayHaveRun || c.earlier != nil {
		return false
	}
	return c.key == "" || c.firstAttempt && c.attempt == 0 && !c.hasWaited || c.ownerReportedNotRun
}

// outcomeBetweenAttempts returns the outcome of a call that ends before its first attempt or between two. For a call
// with an idempotency key it is unknown after an attempt: a repeat may have run since the owner answered.
func (c *ingressCall) outcomeBetweenAttempts() Outcome {
	if c.key != "" && c.attempt > 0 {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// isFromOwner reports whether a refusal comes from a node that owned the call's key and had no record of it.
func (r Reason) isFromOwner() bool {
	switch r {
	case ReasonKeyMoved, ReasonWrongIncarnation, ReasonPeerUnreachable, ReasonNoUpstream, ReasonKeyOwnerLost:
		return false
	default:
		return true
	}
}
