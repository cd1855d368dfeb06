package reducer

import "time"

const (
	// FreeResponseBytes is the part of a response that a runner holds without asking. Responses of usual size cost the
	// control thread nothing, and are never refused because another one is large.
	FreeResponseBytes = 64 << 10
	// responseTail is how long a response may take beyond the time of its call or, when it begins later, beyond its begin. A
	// backend server stops work at the time that it is told, so only the last bytes are due then.
	responseTail = time.Second
)

// responseMemory counts the responses of the backend server that are being received and have outgrown FreeResponseBytes.
//
// Invariant: used is the sum of the bytes held, and at most Limits.MaxResponseBytes.
type responseMemory struct {
	used int64
	held map[Handle]heldResponse // by call
}

// heldResponse is a response of which more than FreeResponseBytes may be held.
type heldResponse struct {
	exchange Handle
	bytes    int64
}

// handleResponseGrows decides whether a response may grow. Nobody can use more of a response whose call has been
// answered: what is kept for copies of the call is shorter. When the memory is short, the largest response is cut: one
// without end must not take the place of the others.
func (s *State) handleResponseGrows(in ResponseGrows) {
	m, call := &s.target.responses, s.target.calls[in.Call]
	if call == nil || call.abandoned {
		s.emit(AnswerResponseGrowth{Exchange: in.Exchange})
		return
	}
	m.release(in.Call)
	for m.used+in.Bytes > s.cfg.Limits.MaxResponseBytes {
		largest, ok := m.largest()
		if !ok || m.held[largest].bytes < in.Bytes {
			s.logCutResponse(call, in.Bytes)
			s.emit(AnswerResponseGrowth{Exchange: in.Exchange})
			return
		}
		s.logCutResponse(s.target.calls[largest], m.held[largest].bytes)
		s.cutResponse(largest)
	}
	if m.held == nil {
		m.held = map[Handle]heldResponse{}
	}
	m.held[in.Call] = heldResponse{in.Exchange, in.Bytes}
	m.used += in.Bytes
	s.emit(AnswerResponseGrowth{Exchange: in.Exchange, Allowed: true})
}

// cutResponse ends the receipt of a response that has outgrown FreeResponseBytes, if there is one. The end of the request
// is reported as usual.
func (s *State) cutResponse(call Handle) {
	if held, ok := s.target.responses.held[call]; ok {
		s.emit(AnswerResponseGrowth{Exchange: held.exchange})
		s.target.responses.release(call)
	}
}

func (s *State) logCutResponse(call *targetCall, bytes int64) {
	s.emit(Log{Level: LevelWarn, Message: "response is cut, its memory is needed", PerCall: true, Fields: []Field{
		{"request", call.requestID}, {"call", call.id}, {"route", call.route}, {"bytes", bytes},
		{"used", s.target.responses.used}, {"limit", s.cfg.Limits.MaxResponseBytes},
	}})
}

// release forgets the bytes of a response that is no longer being received.
func (m *responseMemory) release(call Handle) {
	m.used -= m.held[call].bytes
	delete(m.held, call)
}

// largest returns the call with the largest response; of equal ones the latest.
func (m *responseMemory) largest() (largest Handle, ok bool) {
	for call, held := range m.held {
		if bytes := m.held[largest].bytes; held.bytes > bytes || held.bytes == bytes && call > largest {
			largest, ok = call, true
		}
	}
	return largest, ok
}
