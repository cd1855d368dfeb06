package deregistration

import "time"

const (
	// answerTimeout bounds the wait for other nodes that are asked for the records they hold. They answer within
	// milliseconds if they are reached.
	answerTimeout = 500 * time.Millisecond
	// joinTimeout bounds the wait of a process that knows no other node yet.
	joinTimeout = time.Second
	// MaxDelay is the longest time for which a registration can be on its way. One that arrives later than this after
	// the start of a process was sent after the start, by an incarnation that has not deregistered before it.
	MaxDelay = 6 * time.Second
)

// Inquiry is what a process has found out about incarnations that started before it, and whose deregistration an
// earlier process may have acknowledged: from other nodes once, after its start, and from the store for one
// incarnation at a time. Times count from the start of the process. The zero value is ready to use.
type Inquiry struct {
	askedAt   time.Duration   // when the first nodes were asked
	answered  map[string]bool // the nodes that were asked, and whether they have answered
	older     bool            // a node has answered that is older than the process
	peersDone bool            // no more answers are expected
	storeLost bool            // the store has left a call without an answer

	storeAbsent bool // the store has no record of the incarnation
	fresh       bool // the incarnation has registered later than MaxDelay
}

// Begin begins the inquiry about another incarnation.
func (q *Inquiry) Begin() { q.storeAbsent, q.fresh = false, false }

// Ask notes that nodes are asked now, and returns those that were not asked before.
func (q *Inquiry) Ask(nodes []string, now time.Duration) []string {
	if q.answered == nil {
		q.answered = map[string]bool{}
	}
	var added []string
	for _, node := range nodes {
		if _, asked := q.answered[node]; !asked {
			q.answered[node] = false
			added = append(added, node)
		}
	}
	if len(q.answered) > 0 && len(q.answered) == len(added) {
		q.askedAt = now
	}
	return added
}

// Answered notes that a node has answered, and whether it has run for longer than this process.
func (q *Inquiry) Answered(node string, older bool) {
	if _, asked := q.answered[node]; asked {
		q.answered[node] = true
		q.older = q.older || older
	}
}

// Absent notes that the store has no record of the incarnation.
func (q *Inquiry) Absent() { q.storeAbsent = true }

// IsAbsent reports whether the store has said that it has no record of the incarnation.
func (q *Inquiry) IsAbsent() bool { return q.storeAbsent }

// StoreLost notes that the store has left a call of this process without an answer.
func (q *Inquiry) StoreLost() { q.storeLost = true }

// Registered notes that a registration of the incarnation has arrived.
func (q *Inquiry) Registered(sinceStart time.Duration) {
	q.fresh = q.fresh || sinceStart >= MaxDelay
}

// Cleared reports whether the incarnation is known not to have deregistered. Either the store has no record of it and
// neither has any of the nodes that hold records while the store does not answer, or it has registered so late that
// the registration cannot be one of before. The store's word is not enough in an outage that began before this
// process if no older node is left: the record may have been held by nodes that have ended.
func (q *Inquiry) Cleared(now time.Duration) bool {
	return q.PeersDone(now) && (q.fresh || q.storeAbsent && (q.older || !q.storeLost))
}

// PeersDone reports whether no more answers of other nodes are expected.
func (q *Inquiry) PeersDone(now time.Duration) bool {
	switch {
	case len(q.answered) == 0:
		q.peersDone = q.peersDone || now >= joinTimeout
	case now >= q.askedAt+answerTimeout || q.allAnswered():
		q.peersDone = true
	}
	return q.peersDone
}

func (q *Inquiry) allAnswered() bool {
	for _, answered := range q.answered {
		if !answered {
			return false
		}
	}
	return true
}
