// Package platform is a small stand-in for the platform's key-value store. It speaks the protocol of
// package kv over loopback and can be told to misbehave.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

// pageItems is the size of a page of a range.
const pageItems = 500

// Server is the stand-in. Its zero value is not usable; use New.
type Server struct {
	mu       sync.Mutex
	items    map[string]kv.Item
	previous map[string]kv.Item // before the last write of each key
	leases   map[uint64]*lease
	revision uint64
	events   []kv.Item
	history  uint64        // revision up to which events were dropped
	changed  chan struct{} // closed at the next write
	calls    Calls
	faults   faults
}

// Calls counts the calls received, whether or not they were answered.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Leases  int `json:"leases"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Server {
	return &Server{
		items: map[string]kv.Item{}, previous: map[string]kv.Item{}, leases: map[uint64]*lease{}, revision: 1,
		changed: make(chan struct{}), faults: faults{active: map[FaultKind]Fault{}, cutWatches: make(chan struct{})},
	}
}

// Calls returns the calls received so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case FaultPath:
		s.serveFault(w, r)
		return
	case CallsPath:
		answer(w, http.StatusOK, s.Calls())
		return
	}
	handle, count := s.route(r)
	if handle == nil {
		http.NotFound(w, r)
		return
	}
	// net/http notices that a client is gone only once the body has been read.
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*platform.MaxValueBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	*count++
	s.mu.Unlock()
	if s.disturb(w, r) {
		handle(w, r, body)
	}
}

type handler func(w http.ResponseWriter, r *http.Request, body []byte)

// route returns the handler of a call and the count of its kind.
func (s *Server) route(r *http.Request) (handler, *int) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == kv.PathKey:
		return s.key, &s.calls.Reads
	case r.Method == http.MethodGet && path == kv.PathRange:
		return s.pageOfRange, &s.calls.Reads
	case r.Method == http.MethodGet && path == kv.PathWatch:
		return s.watch, &s.calls.Watches
	case r.Method == http.MethodPost && path == kv.PathTxn:
		return s.txn, &s.calls.Writes
	case r.Method == http.MethodPost && path == kv.PathLeaseGrant:
		return s.grant, &s.calls.Leases
	case r.Method == http.MethodPost && strings.HasPrefix(path, kv.PathLeaseRenew):
		return s.keep, &s.calls.Leases
	case r.Method == http.MethodDelete && strings.HasPrefix(path, kv.PathLeaseEnd):
		return s.end, &s.calls.Leases
	default:
		return nil, nil
	}
}

func (s *Server) key(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	item, ok := s.items[r.URL.Query().Get("key")]
	item.StoreRevision = s.revision
	if !ok {
		answer(w, http.StatusNotFound, item)
		return
	}
	answer(w, http.StatusOK, item)
}

func (s *Server) pageOfRange(w http.ResponseWriter, r *http.Request, _ []byte) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	items := s.items
	if _, stale := s.take(FaultStaleRead); stale && query.Get("serializable") == "1" {
		items = s.previous
	}
	page := kv.RangeResult{Items: []kv.Item{}, StoreRevision: s.revision}
	for _, item := range items {
		if strings.HasPrefix(item.Key, query.Get("prefix")) && item.Key > query.Get("after") {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.Truncated = page.Items[:pageItems], true
	}
	answer(w, http.StatusOK, page)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, _ []byte) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	_, silent := s.take(FaultSilentWatch)
	gone := after < s.history
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
	case gone:
		w.WriteHeader(http.StatusGone)
	default:
		s.await(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	}
}

// await answers a watch once a key with the prefix has changed, or when the wait is over.
func (s *Server) await(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		result := kv.WatchResult{Events: s.since(prefix, after), StoreRevision: s.revision}
		changed, cut := s.changed, s.faults.cutWatches
		s.mu.Unlock()
		if len(result.Events) > 0 || ctx.Err() != nil {
			answer(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
		}
	}
}

// since returns the changes of keys with a prefix after a revision. The caller holds the lock.
func (s *Server) since(prefix string, after uint64) []kv.Item {
	events := []kv.Item{}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

func (s *Server) txn(w http.ResponseWriter, _ *http.Request, body []byte) {
	var in kv.Txn
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if late, ok := s.take(FaultLateWrite); ok {
		time.AfterFunc(time.Duration(late.DelayMs)*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(in)
		})
		panic(http.ErrAbortHandler)
	}
	status, result := s.apply(in)
	if status == http.StatusOK {
		s.loseAnswer()
	}
	answer(w, status, result)
}

// apply makes a change when its condition holds. The caller holds the lock.
func (s *Server) apply(in kv.Txn) (status int, _ kv.TxnResult) {
	s.expire(time.Now())
	for _, want := range in.Conditions {
		if s.items[want.Key].Revision != want.Revision {
			return http.StatusPreconditionFailed, kv.TxnResult{Items: s.found(in.Conditions)}
		}
	}
	for _, write := range in.Writes {
		switch {
		case strings.HasPrefix(write.Key, OperatorPrefix):
			return http.StatusForbidden, kv.TxnResult{}
		case write.Value == nil: // null is not base64 text
			return http.StatusBadRequest, kv.TxnResult{}
		case len(write.Value) > platform.MaxValueBytes:
			return http.StatusRequestEntityTooLarge, kv.TxnResult{}
		case write.Lease != 0 && s.leases[write.Lease] == nil:
			return http.StatusNotFound, kv.TxnResult{}
		}
	}
	s.revision++
	for _, write := range in.Writes {
		s.write(write)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, kv.TxnResult{Revision: s.revision}
}

// OperatorPrefix stands before the keys that only the platform's operator writes.
const OperatorPrefix = "op/"

// OperatorPut writes a key as the platform's operator does.
func (s *Server) OperatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(kv.Write{Key: key, Value: value})
	s.notify()
}

func (s *Server) write(write kv.Write) {
	held, ok := s.items[write.Key]
	if ok {
		s.previous[write.Key] = held
	}
	item := kv.Item{Key: write.Key, Value: write.Value, Revision: s.revision, CreateRevision: held.CreateRevision, Lease: write.Lease}
	if !ok {
		item.CreateRevision = s.revision
	}
	s.items[write.Key] = item
	s.events = append(s.events, item)
}

func (s *Server) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, kv.Item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) found(expect []kv.Condition) []kv.Item {
	items := []kv.Item{}
	for _, want := range expect {
		if item, ok := s.items[want.Key]; ok {
			items = append(items, item)
		}
	}
	return items
}

func (s *Server) grant(w http.ResponseWriter, _ *http.Request, body []byte) {
	var in kv.Lease
	if json.Unmarshal(body, &in) != nil || in.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.loseAnswer()
	answer(w, http.StatusOK, kv.Lease{ID: s.revision, TTLMs: in.TTLMs})
}

func (s *Server) keep(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	held := s.leases[leaseID(r, kv.PathLeaseRenew)]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.expires = time.Now().Add(held.ttl)
	answer(w, http.StatusOK, kv.Lease{TTLMs: held.ttl.Milliseconds()})
}

func (s *Server) end(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r, kv.PathLeaseEnd)
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}

func leaseID(r *http.Request, prefix string) uint64 {
	id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64) // 0 is no lease
	return id
}

// expire ends the leases whose time is up. The caller holds the lock.
func (s *Server) expire(now time.Time) {
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *Server) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func decode(r io.Reader, out any) bool { return json.NewDecoder(r).Decode(out) == nil }

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the client is gone
}
