// Package platform is a small in-memory stand-in for the platform's key-value store. It serves the protocol
// of package kv over loopback and supports fault injection.
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
	"sync/atomic"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

// maxPageItems is the maximum number of items in one page of a range.
const maxPageItems = 500

// Server is a stand-in for the store. Its zero value is not usable; use New.
type Server struct {
	mu                sync.Mutex
	items             map[string]kv.Item
	previous          map[string]kv.Item // the items before the last write of each key, for FaultStaleRead
	leases            map[uint64]*lease  // by id, the revision at which the lease was granted
	revision          uint64
	events            []kv.Item
	changes           []Change
	compactedRevision uint64        // revision up to which events were dropped
	changed           chan struct{} // closed and replaced at each change
	calls             Calls
	faults            faultState
	copied            contents      // by FaultCopy
	era               atomic.Uint64 // how often the store was restored from a copy, from 1 on
}

// Calls holds the numbers of calls received, answered or not.
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
	s := &Server{
		items: map[string]kv.Item{}, previous: map[string]kv.Item{}, leases: map[uint64]*lease{}, revision: 1,
		changed: make(chan struct{}), faults: faultState{active: map[FaultKind]Fault{}, cutWatches: make(chan struct{})},
	}
	s.era.Store(1)
	return s
}

// Calls returns the numbers of calls received so far.
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
		writeJSON(w, http.StatusOK, s.Calls())
		return
	case ChangesPath:
		writeJSON(w, http.StatusOK, s.Changes(r.URL.Query().Get("prefix")))
		return
	}
	handle, counter := s.findHandler(r)
	if handle == nil {
		http.NotFound(w, r)
		return
	}
	// net/http detects that a client disconnected only after the body has been read.
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*platform.MaxValueBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
	if w = (eraWriter{w, s}); s.applyFaults(w, r) {
		handle(w, r, body)
	}
}

type handler func(w http.ResponseWriter, r *http.Request, body []byte)

// findHandler returns the handler for a call and the counter of its kind, or nil for an unknown path or
// method.
func (s *Server) findHandler(r *http.Request) (handler, *int) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == kv.PathKey:
		return s.serveKey, &s.calls.Reads
	case r.Method == http.MethodGet && path == kv.PathRange:
		return s.serveRange, &s.calls.Reads
	case r.Method == http.MethodGet && path == kv.PathWatch:
		return s.serveWatch, &s.calls.Watches
	case r.Method == http.MethodPost && path == kv.PathTxn:
		return s.serveTxn, &s.calls.Writes
	case r.Method == http.MethodPost && path == kv.PathLeaseGrant:
		return s.serveLeaseGrant, &s.calls.Leases
	case r.Method == http.MethodPost && strings.HasPrefix(path, kv.PathLeaseRenew):
		return s.serveLeaseRenew, &s.calls.Leases
	case r.Method == http.MethodDelete && strings.HasPrefix(path, kv.PathLeaseEnd):
		return s.serveLeaseEnd, &s.calls.Leases
	default:
		return nil, nil
	}
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	item, ok := s.items[r.URL.Query().Get("key")]
	item.StoreRevision = s.revision
	if !ok {
		writeJSON(w, http.StatusNotFound, item)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request, _ []byte) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	items := s.items
	if _, stale := s.consumeFault(FaultStaleRead); stale && query.Get("serializable") == "1" {
		items = s.previous
	}
	page := kv.RangeResult{Items: []kv.Item{}, StoreRevision: s.revision}
	for _, item := range items {
		if strings.HasPrefix(item.Key, query.Get("prefix")) && item.Key > query.Get("after") {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > maxPageItems {
		page.Items, page.Truncated = page.Items[:maxPageItems], true
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, _ []byte) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	_, silent := s.consumeFault(FaultSilentWatch)
	compacted := after < s.compactedRevision || after > s.revision
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
	case compacted:
		w.WriteHeader(http.StatusGone)
	default:
		s.waitForEvents(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	}
}

// waitForEvents responds to a watch once a key with the prefix has changed after the given revision, or
// with no events when the wait time is over.
func (s *Server) waitForEvents(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		result := kv.WatchResult{Events: s.eventsAfter(prefix, after), StoreRevision: s.revision}
		changed, cut := s.changed, s.faults.cutWatches
		s.mu.Unlock()
		if len(result.Events) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, result)
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

// eventsAfter returns the events after a revision for keys with the prefix. The caller holds the lock.
func (s *Server) eventsAfter(prefix string, after uint64) []kv.Item {
	events := []kv.Item{}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

func (s *Server) serveTxn(w http.ResponseWriter, _ *http.Request, body []byte) {
	var txn kv.Txn
	if json.Unmarshal(body, &txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if late, ok := s.consumeFault(FaultLateWrite); ok {
		time.AfterFunc(time.Duration(late.DelayMs)*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyTxn(txn)
		})
		panic(http.ErrAbortHandler)
	}
	status, result := s.applyTxn(txn)
	if status == http.StatusOK {
		s.abortIfAnswerLost()
	}
	writeJSON(w, status, result)
}

// applyTxn applies a transaction if all its conditions hold and its writes are valid, and returns the
// HTTP status and the result. The caller holds the lock.
func (s *Server) applyTxn(txn kv.Txn) (status int, _ kv.TxnResult) {
	s.expireLeases(time.Now())
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			return http.StatusPreconditionFailed, kv.TxnResult{Items: s.currentItems(txn.Conditions)}
		}
	}
	for _, write := range txn.Writes {
		switch {
		case strings.HasPrefix(write.Key, OperatorPrefix):
			return http.StatusForbidden, kv.TxnResult{}
		case write.Value == nil: // a value must be base64 text, not null
			return http.StatusBadRequest, kv.TxnResult{}
		case len(write.Value) > platform.MaxValueBytes:
			return http.StatusRequestEntityTooLarge, kv.TxnResult{}
		case write.Lease != 0 && s.leases[write.Lease] == nil:
			return http.StatusNotFound, kv.TxnResult{}
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.putItem(write)
	}
	for _, key := range txn.Remove {
		s.deleteItem(key)
	}
	s.wakeWatches()
	return http.StatusOK, kv.TxnResult{Revision: s.revision}
}

// OperatorPrefix is the prefix of the keys that only the platform's operator may write.
const OperatorPrefix = "op/"

// OperatorPut writes a key on behalf of the platform's operator.
func (s *Server) OperatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putItem(kv.Write{Key: key, Value: value})
	s.wakeWatches()
}

// putItem stores an item at the current revision. The caller holds the lock.
func (s *Server) putItem(write kv.Write) {
	existing, ok := s.items[write.Key]
	if ok {
		s.previous[write.Key] = existing
	}
	item := kv.Item{Key: write.Key, Value: write.Value, Revision: s.revision, CreateRevision: existing.CreateRevision, Lease: write.Lease}
	if !ok {
		item.CreateRevision = s.revision
	}
	s.items[write.Key] = item
	s.appendEvent(item)
}

// deleteItem deletes a key, if it exists, at the current revision. The caller holds the lock.
func (s *Server) deleteItem(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.appendEvent(kv.Item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// wakeWatches makes all waiting watches look for new events. The caller holds the lock.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentItems returns the existing items of the keys in the conditions. The caller holds the lock.
func (s *Server) currentItems(conditions []kv.Condition) []kv.Item {
	items := []kv.Item{}
	for _, condition := range conditions {
		if item, ok := s.items[condition.Key]; ok {
			items = append(items, item)
		}
	}
	return items
}

func (s *Server) serveLeaseGrant(w http.ResponseWriter, _ *http.Request, body []byte) {
	var requested kv.Lease
	if json.Unmarshal(body, &requested) != nil || requested.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(requested.TTLMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.abortIfAnswerLost()
	writeJSON(w, http.StatusOK, kv.Lease{ID: s.revision, TTLMs: requested.TTLMs})
}

func (s *Server) serveLeaseRenew(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	granted := s.leases[leaseID(r, kv.PathLeaseRenew)]
	if granted == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	granted.expires = time.Now().Add(granted.ttl)
	writeJSON(w, http.StatusOK, kv.Lease{TTLMs: granted.ttl.Milliseconds()})
}

func (s *Server) serveLeaseEnd(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r, kv.PathLeaseEnd)
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

// leaseID returns the lease id that follows the prefix in a request's path, or 0 if it is malformed.
func leaseID(r *http.Request, prefix string) uint64 {
	id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64) // no lease has id 0
	return id
}

// expireLeases ends the leases that have expired. The caller holds the lock.
func (s *Server) expireLeases(now time.Time) {
	for id, granted := range s.leases {
		if now.After(granted.expires) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes the keys attached to it. The caller holds the lock.
func (s *Server) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.deleteItem(key)
		}
	}
	s.wakeWatches()
}

func decodeJSON(r io.Reader, out any) bool { return json.NewDecoder(r).Decode(out) == nil }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client disconnected
}
