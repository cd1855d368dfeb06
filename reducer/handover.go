package reducer

import "time"

const (
	// handOverRecords and handOverBytes bound one HandOver effect, so that it fits into a frame of 8 MB between
	// nodes. handOverBytes counts response bodies only; the headers of each response add up to 32 KB.
	handOverRecords = 100
	handOverBytes   = 4 << 20
	// handOverTimeout bounds the wait until the next owners have accepted the records.
	handOverTimeout = 5 * time.Second
	// exitDelay is the time between the announcement that this node has left and the end of the process.
	exitDelay = 200 * time.Millisecond
)

// KeyRecord is the execution record of a call with an idempotency key, as one node hands it to another.
type KeyRecord struct {
	Route     string
	Key       string
	ID        CallID
	Outcome   Outcome
	Reason    Reason
	Status    int
	Call      Handle        // handle under which the sending or the receiving node keeps the response
	KeptBytes int64         // bytes of the response
	Remaining time.Duration // until the record expires
	Problem   string        // what is wrong with a response that was not taken over because of it; empty for any other
}

// startHandOver sends the records of keys to their next owners before this node leaves, so that repeats find the
// outcome there.
func (s *State) startHandOver() {
	s.shutdown.phase = phaseHandingOver
	s.shutdown.recordsHandedOver = true
	s.timers.set(timerKey{kind: timerShutdown}, s.now+handOverTimeout)
	for _, batch := range s.handOverBatches() {
		s.shutdown.pendingHandOvers++
		s.emit(batch)
	}
	s.leaveAfterHandOver()
}

// handOverBatches groups the records by the next owner of their keys. Without one the handover is incomplete.
func (s *State) handOverBatches() []HandOver {
	batches := map[NodeID]*HandOver{}
	var full []HandOver
	for _, r := range s.target.records.concludedKeyRecords() {
		ranking := s.keyRanking(s.backend.service, r.key.route, r.key.key)
		if len(ranking) == 0 {
			s.shutdown.recordsHandedOver = false
			break
		}
		owner := ranking[0]
		batch := batches[owner.Node]
		if batch == nil {
			batch = &HandOver{To: owner.Ref()}
			batches[owner.Node] = batch
		}
		batch.add(r, s.now)
		if len(batch.Records) >= handOverRecords || batch.bytes >= handOverBytes {
			full = append(full, *batch)
			delete(batches, owner.Node)
		}
	}
	for _, node := range sortedKeys(batches) {
		full = append(full, *batches[node])
	}
	return full
}

func (h *HandOver) add(r *record, now time.Duration) {
	h.Records = append(h.Records, KeyRecord{
		Route: r.key.route, Key: r.key.key, ID: r.id, Outcome: r.outcome, Reason: r.reason, Status: r.status,
		Call: r.call, KeptBytes: r.keptBytes, Remaining: r.expiresAt - now,
	})
	h.bytes += r.keptBytes
}

func (s *State) handleHandOverDone(in HandOverDone) {
	if s.shutdown.phase != phaseHandingOver {
		return
	}
	s.shutdown.pendingHandOvers--
	s.shutdown.recordsHandedOver = s.shutdown.recordsHandedOver && in.Accepted
	s.leaveAfterHandOver()
}

func (s *State) leaveAfterHandOver() {
	if s.shutdown.pendingHandOvers == 0 {
		s.leave()
	}
}

// handleRecordsArrived takes over records from a leaving node: all of them, or none when the limits do not allow it.
func (s *State) handleRecordsArrived(in RecordsArrived) {
	records := &s.target.records
	var bytes int64
	for _, r := range in.Records {
		bytes += r.KeptBytes
	}
	limits := s.cfg.Limits
	if records.len()+len(in.Records) > limits.MaxRecords || records.keptBytes+bytes > limits.MaxKeptBytes {
		s.emit(AcceptRecords{Exchange: in.Exchange})
		return
	}
	for _, r := range in.Records {
		s.logMalformedRecord(r)
		s.takeOverRecord(r)
	}
	s.scheduleExpiry()
	s.emit(AcceptRecords{Exchange: in.Exchange, Accepted: true})
}

// logMalformedRecord logs why a record comes without its response, so that repeats of its key get an unknown outcome.
func (s *State) logMalformedRecord(in KeyRecord) {
	if in.Problem != "" {
		s.emit(Log{Level: LevelWarn, Message: "response in a record of another node is malformed", PerCall: true, Fields: []Field{
			{"call", in.ID}, {"route", in.Route}, {"problem", in.Problem},
		}})
	}
}

// takeOverRecord inserts a record that was handed over, unless this node has one for the key. It replaces a fence.
func (s *State) takeOverRecord(in KeyRecord) {
	records := &s.target.records
	key := executionKey(in.ID, in.Route, in.Key)
	held := records.byKey[key]
	if held != nil && held.reason != ReasonKeyMoved {
		s.emit(DropResponse{Call: in.Call})
		return
	}
	if held != nil {
		records.remove(held)
	}
	r := &record{
		key: key, id: in.ID, state: recordConcluded, call: in.Call, keptBytes: in.KeptBytes,
		outcome: in.Outcome, reason: in.Reason, status: in.Status, responseExpiresAt: s.now + in.Remaining,
	}
	records.keptBytes += in.KeptBytes
	records.insert(r, s.now+in.Remaining)
}
