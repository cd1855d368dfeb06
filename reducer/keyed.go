package reducer

// dispatchToOwner starts the next attempt of a call with an idempotency key at the owner of the key. When
// owners have changed, every other node that may have a record of the key is asked first, and fences the
// key, so that it runs at the owner or not at all.
func (s *State) dispatchToOwner(call *ingressCall) {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		s.refuse(call, call.idleOutcome(), ReasonNoRoute)
		return
	}
	ranking := s.keyRanking(pool.Service, call.route.Name, call.key)
	switch {
	case len(ranking) == 0:
		s.retryOrRefuse(call, call.idleOutcome(), ReasonNoUpstream)
	case s.recordsLost(call, pool.Service, ranking[0]):
		s.refuse(call, OutcomeUnknown, ReasonKeyOwnerLost)
	default:
		if owner := ranking[0].Node; call.keyOwner != owner {
			call.keyOwner, call.askedHolders = owner, nil
		}
		s.askHolders(call, s.keyHolders(call, pool.Service, ranking), ranking[0])
	}
}

// askHolders asks the next node that may have a record of the call's key, or sends the call to the owner
// when all were asked.
func (s *State) askHolders(call *ingressCall, holders []Member, owner Member) {
	for _, holder := range holders {
		if containsNode(call.askedHolders, holder.Node) {
			continue
		}
		call.askedHolders = append(call.askedHolders, holder.Node)
		if holder.Node != s.cfg.Self {
			s.ask(call, holder)
			return
		}
		if s.keyRecordHere(call) {
			return
		}
	}
	s.startAttempt(call, owner)
}

func (s *State) ask(call *ingressCall, holder Member) {
	call.attempt++
	call.target = holder.Ref()
	s.setPhase(call, phaseAskingHolder)
	s.requestOutcome(call.handle)
}

// keyRecordHere answers a call from the record of its key at this node, which does not own the key, and
// reports whether there is one. Else it fences the key.
func (s *State) keyRecordHere(call *ingressCall) bool {
	r := s.target.records.byKey[executionKey(call.id, call.route.Name, call.key)]
	switch {
	case r == nil:
		s.fence(SettleArrived{
			ID: call.id, Attempt: call.attempt, Route: call.route.Name, Key: call.key, KeyRetention: call.route.KeyRetention,
			TakeKey: true,
		})
		return false
	case r.reason == ReasonKeyMoved:
		r.askedAgain(SettleArrived{ID: call.id, Attempt: call.attempt, TakeKey: true})
		return false
	}
	s.setPhase(call, phaseLocal)
	if r.state == recordConcluded {
		s.attemptAnswered(call, r.outcome, r.reason, r.call)
	} else {
		r.waiters = append(r.waiters, waiter{exchange: call.handle, kind: waitLocal})
	}
	return true
}

// certainNotRun reports whether a refusal of the call may say that it did not run: no attempt was lost,
// and a call with an idempotency key is either the first with its key, refused before anything was sent or
// asked, or its owner has said so. While a first request waits, a repeat may overtake it.
func (c *ingressCall) certainNotRun() bool {
	if c.mayHaveRun || c.earlier != nil {
		return false
	}
	return c.key == "" || c.firstAttempt && c.attempt == 0 || c.ownerReportedNotRun
}

// idleOutcome is the outcome of a call that ends between two attempts, or before the first. What the owner
// of its key said does not cover the time since.
func (c *ingressCall) idleOutcome() Outcome {
	if c.key != "" && c.attempt > 0 {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// fromOwner reports whether the reason of a refusal is given by a node that owns the call's key, looked
// for its record and found none.
func (r Reason) fromOwner() bool {
	switch r {
	case ReasonKeyMoved, ReasonWrongIncarnation, ReasonPeerUnreachable, ReasonNoUpstream, ReasonKeyOwnerLost:
		return false
	default:
		return true
	}
}
