package deregistration

import "time"

const (
	// answerTimeout bounds the wait for other nodes that are asked for the records they hold. They answer within milliseconds if they are reached.
	answerTimeout = 500 * time.Millisecond
	// joinTimeout bounds the wait of a process that knows no other node yet.
	joinTimeout = time.Second
)

// Inquiry is what a process has found out about an incarnation that started before it, and whose deregistration an earlier process may have
// acknowledged.
type Inquiry struct {
	begunAt     time.Duration
	askedAt     time.Duration   // when the first nodes were asked
	storeAbsent bool            // the store has no record of it
	answered    map[string]bool // the nodes that were asked, and whether they have answered
}

// NewInquiry returns an inquiry that begins now.
func NewInquiry(now time.Duration) *Inquiry {
	return &Inquiry{begunAt: now, answered: map[string]bool{}}
}

// Ask notes that nodes are asked now, and returns those that were not asked before.
func (q *Inquiry) Ask(nodes []string, now time.Duration) []string {
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

// Answered notes that a node has answered.
func (q *Inquiry) Answered(node string) {
	if _, asked := q.answered[node]; asked {
		q.answered[node] = true
	}
}

// Absent notes that the store has no record of the incarnation.
func (q *Inquiry) Absent() { q.storeAbsent = true }

// Cleared reports whether the incarnation is known not to have deregistered: the store has no record of it, and neither has any of the nodes
// that hold records while the store does not answer.
func (q *Inquiry) Cleared(now time.Duration) bool {
	return q.storeAbsent && q.peersDone(now)
}

// peersDone reports whether no more answers of other nodes are expected.
func (q *Inquiry) peersDone(now time.Duration) bool {
	if len(q.answered) == 0 {
		return now >= q.begunAt+joinTimeout
	}
	for _, answered := range q.answered {
		if !answered {
			return now >= q.askedAt+answerTimeout
		}
	}
	return true
}
