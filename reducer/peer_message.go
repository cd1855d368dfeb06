package reducer

func (s *State) handlePeerMessage(in PeerMessage) {
	s.noteHeard(in.From)
	switch message := in.Message.(type) {
	case Heartbeat:
		s.handleHeartbeat(in.From, message)
	case MemberUpdate:
		s.handleMemberUpdate(in.From, message)
		s.noteHeard(in.From) // the update may have added the sender to the table
	case MemberDigest:
		s.handleMemberDigest(in.From, message)
	case ConfigUpdate:
		s.handleConfigUpdate(in.From, message)
	case ConfigFetch:
		s.handleConfigFetch(in.From, message)
	case QuotaRequest:
		s.handleQuotaRequest(in.From, message)
	case QuotaGrant:
		s.handleQuotaGrant(in.From, message)
	case RolloutUpdates:
		s.handleRolloutUpdates(in.From, message)
	case RolloutReport:
		s.observeRolloutReport(in.From.Node, message.Report)
	case RolloutFetch:
		s.handleRolloutFetch(in.From)
	case ReadForPeer:
		s.handleReadForPeer(in.From)
	case ReadsForPeer:
		s.handleReadsForPeer(in.From, message)
	case HoldDeregistrations:
		s.handleHoldDeregistrations(in.From, message)
	case DeregistrationsHeld:
		s.handleDeregistrationsHeld(in.From, message)
	}
}
