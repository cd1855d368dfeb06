package reducer

import "time"

const (
	// handOverRecords and handOverBytes bound one HandOver effect, so that it fits a frame of 8 MB between
	// nodes. The bytes are those of the bodies; headers of a response take up to 32 KB more.
	handOverRecords = 100
	handOverBytes   = 4 << 20
	// handOverTimeout bounds the wait for the next owners of keys.
	handOverTimeout = 5 * time.Second
	// leftNotice is the time between the news that this node has left and the end of the process.
	leftNotice = 200 * time.Millisecond
)

// KeyRecord is the execution record of a call with an idempotency key, as one node hands it to another.
type KeyRecord struct {
	Route     string
	Key       string
	ID        CallID
	Outcome   Outcome
	Reason    Reason
	Status    int
	Call      Handle // the call whose response the node that has the record keeps
	Kept      int64  // bytes of the response
	Remaining time.Duration
}

// handOver gives the records of keys to their next owners before this node leaves, so that a repeat finds
// the outcome there.
func (s *State) handOver() {
	s.shutdown.phase = phaseHandingOver
	s.shutdown.recordsHandedOver = true
	s.timers.set(timerKey{kind: timerShutdown}, s.now+handOverTimeout)
	for _, batch := range s.handOverBatches() {
		s.shutdown.pendingHandOvers++
		s.emit(batch)
	}
	s.handOverProgress()
}

// handOverBatches groups the records by the node that owns their keys once this one has left.
func (s *State) handOverBatches() []HandOver {
	batches := map[NodeID]*HandOver{}
	var full []HandOver
	for _, r := range s.target.records.keyed() {
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
		Call: r.call, Kept: r.kept, Remaining: r.expiresAt - now,
	})
	h.bytes += r.kept
}

func (s *State) handOverDone(in HandOverDone) {
	if s.shutdown.phase != phaseHandingOver {
		return
	}
	s.shutdown.pendingHandOvers--
	s.shutdown.recordsHandedOver = s.shutdown.recordsHandedOver && in.Accepted
	s.handOverProgress()
}

func (s *State) handOverProgress() {
	if s.shutdown.pendingHandOvers == 0 {
		s.leave()
	}
}

// recordsArrived takes over records from a node that leaves: all of them, or none when there is no room.
func (s *State) recordsArrived(in RecordsArrived) {
	records := &s.target.records
	var bytes int64
	for _, r := range in.Records {
		bytes += r.Kept
	}
	limits := s.cfg.Limits
	if records.len()+len(in.Records) > limits.MaxRecords || records.kept+bytes > limits.MaxKeptBytes {
		s.emit(AcceptRecords{Exchange: in.Exchange})
		return
	}
	for _, r := range in.Records {
		s.takeRecord(r)
	}
	s.scheduleExpiry()
	s.emit(AcceptRecords{Exchange: in.Exchange, Accepted: true})
}

// takeRecord inserts a record that was handed over, unless this node has one of its own for the key.
func (s *State) takeRecord(in KeyRecord) {
	records := &s.target.records
	key := executionKey(in.ID, in.Route, in.Key)
	held := records.byKey[key]
	if held != nil && held.reason != ReasonKeyMoved {
		s.emit(DropAnswer{Call: in.Call})
		return
	}
	if held != nil {
		records.remove(held)
	}
	r := &record{
		key: key, id: in.ID, state: recordConcluded, call: in.Call, kept: in.Kept,
		outcome: in.Outcome, reason: in.Reason, status: in.Status, answerTill: s.now + in.Remaining,
	}
	records.kept += in.Kept
	records.insert(r, s.now+in.Remaining)
}
