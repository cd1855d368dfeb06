// Package traffic holds the types that the traffic goroutines of a node share: requests and responses, the mailboxes
// through which a goroutine receives effects, the responses kept for later copies of a call, and a pool of goroutines.
package traffic

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Request is a caller's request with its complete body.
type Request struct {
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a backend server's response, with its complete body unless Truncated or Rest is set.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Truncated bool // the body is missing because it was too long to keep for later copies of the call
	// Rest supplies the bytes of the body that follow Body; nil if Body is complete. Whoever takes over the response
	// must close it.
	Rest BodyStream
	// Length is the length of the whole body, or -1 if it is not known. It is set only together with Rest.
	Length int64
}

// BodyStream supplies the rest of a response body while it is passed on. Only one goroutine may call Next.
type BodyStream interface {
	// Next returns the next bytes of the body, at least one, which are valid until the next call. It returns io.EOF after
	// the last byte. Any other error means that the body broke off: what was passed on must not look complete.
	Next(ctx context.Context) ([]byte, error)
	// Close ends the request to the backend server, unless the body is complete, and releases the stream.
	Close()
	// Ended is closed when the backend server no longer works on the request.
	Ended() <-chan struct{}
}

// Parts of a response body in bytes.
const (
	// MaxWholeBodyBytes is the longest body of a streaming route that is delivered as a whole. Until its first byte has
	// left, a response that breaks off can be replaced by that of another attempt.
	MaxWholeBodyBytes = 768 << 10
	// PartBytes is the size of the parts in which a longer body, or one between nodes, is moved. At 10 Mbit/s a part
	// takes 52 ms, after which other responses on the same connection have their turn.
	PartBytes = 64 << 10
)

// ReadWhole moves parts from Rest to Body until the body is complete or longer than MaxWholeBodyBytes. On an error it
// closes Rest.
func (r *Response) ReadWhole(ctx context.Context) error {
	if r.Rest != nil && r.Length > int64(len(r.Body)) {
		r.Body = slices.Grow(r.Body, int(min(r.Length, MaxWholeBodyBytes+2*PartBytes))-len(r.Body))
	}
	for r.Rest != nil && len(r.Body) <= MaxWholeBodyBytes {
		part, err := r.Rest.Next(ctx)
		if err == io.EOF {
			r.Rest.Close()
			r.Rest = nil
			return nil
		}
		if err != nil {
			r.Rest.Close()
			return err
		}
		r.Body = append(r.Body, part...)
	}
	return nil
}

// Discard releases a response that nobody takes over. It does nothing for nil.
func (r *Response) Discard() {
	if r != nil && r.Rest != nil {
		r.Rest.Close()
	}
}

// mailboxSize is the capacity of a mailbox. At most three effects of a call are pending at once: a request, its
// cancellation and the final answer.
const mailboxSize = 8

// Mailbox receives the effects for one traffic goroutine.
type Mailbox struct {
	Handle  reducer.Handle
	Effects <-chan reducer.CallEffect
	owner   *Mailboxes
}

// Close removes the mailbox. Later effects for it are dropped.
func (m *Mailbox) Close() {
	m.owner.mu.Lock()
	delete(m.owner.open, m.Handle)
	m.owner.mu.Unlock()
}

// Mailboxes is the set of open mailboxes, by handle. It is safe for concurrent use.
type Mailboxes struct {
	lastHandle atomic.Uint64
	mu         sync.Mutex
	open       map[reducer.Handle]chan reducer.CallEffect
}

// NewMailboxes returns an empty set of mailboxes.
func NewMailboxes() *Mailboxes {
	return &Mailboxes{open: map[reducer.Handle]chan reducer.CallEffect{}}
}

// NewHandle returns a new handle without opening a mailbox. A response can be stored under it.
func (m *Mailboxes) NewHandle() reducer.Handle { return reducer.Handle(m.lastHandle.Add(1)) }

// Open opens a mailbox with a new handle.
func (m *Mailboxes) Open() *Mailbox {
	effects := make(chan reducer.CallEffect, mailboxSize)
	handle := m.NewHandle()
	m.mu.Lock()
	m.open[handle] = effects
	m.mu.Unlock()
	return &Mailbox{Handle: handle, Effects: effects, owner: m}
}

// Deliver puts an effect into the mailbox with its handle. It does not block. An effect whose mailbox is closed is
// dropped. Deliver panics if the mailbox is full, which means that the reducer broke an invariant.
func (m *Mailboxes) Deliver(effect reducer.CallEffect) {
	m.mu.Lock()
	effects, ok := m.open[effect.CallHandle()]
	m.mu.Unlock()
	if !ok {
		return
	}
	select {
	case effects <- effect:
	default:
		panic("traffic: mailbox of a call is full")
	}
}

// ResponseStore stores the responses that are kept for later copies of a call. It is safe for concurrent use.
type ResponseStore struct {
	mu     sync.Mutex
	byCall map[reducer.Handle]*Response
}

// NewResponseStore returns an empty store.
func NewResponseStore() *ResponseStore {
	return &ResponseStore{byCall: map[reducer.Handle]*Response{}}
}

// Put stores the response of a call.
func (s *ResponseStore) Put(call reducer.Handle, response *Response) {
	s.mu.Lock()
	s.byCall[call] = response
	s.mu.Unlock()
}

// Get returns the stored response of a call, or nil if there is none.
func (s *ResponseStore) Get(call reducer.Handle) *Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byCall[call]
}

// Drop removes the response of a call.
func (s *ResponseStore) Drop(call reducer.Handle) {
	s.mu.Lock()
	delete(s.byCall, call)
	s.mu.Unlock()
}
