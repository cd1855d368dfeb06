package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the platform's store.
const storeDelay = 4 * time.Millisecond

// item is an entry of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	Current  uint64 `json:"current-rev,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store. Each node has a door of its own, so that the store can tell the
// machines apart.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	changed  chan struct{}
	doors    []*door
	down     bool // answers nothing
}

// door is the address of the store for one node.
type door struct {
	store    *store
	node     string
	address  string
	server   *http.Server
	mu       sync.Mutex
	closed   bool // answers 503
	watching int  // open watches
	calls    int  // calls since the last count
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// open opens a door for a node.
func (s *store) open(node string) (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, node: node, address: listener.Addr().String()}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	s.doors = append(s.doors, d)
	return d, nil
}

func (s *store) close() {
	for _, d := range s.doors {
		_ = d.server.Close()
	}
}

// shut makes the store turn the machine away with 503, or serve it again. Watches that wait are cut.
func (d *door) shut(closed bool) {
	d.mu.Lock()
	d.closed = closed
	d.mu.Unlock()
	d.store.mu.Lock()
	d.store.wake()
	d.store.mu.Unlock()
}

func (d *door) isShut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// isWatching reports whether the machine has a watch open.
func (d *door) isWatching() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching > 0
}

func (d *door) countWatch(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watching += n
}

// takeCalls returns the number of calls since it was last asked.
func (d *door) takeCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.calls
	d.calls = 0
	return n
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	time.Sleep(storeDelay)
	if d.store.isDown() {
		<-r.Context().Done() // no response: the call is lost
		return
	}
	if d.isShut() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s, query := d.store, r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/api/kv-key":
		s.serveKey(w, query.Get("key"))
	case r.Method == http.MethodGet && r.URL.Path == "/api/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.Method == http.MethodGet && r.URL.Path == "/api/kv-watch":
		d.serveWatch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/api/kv-txn":
		s.serveTxn(w, body)
	case r.Method == http.MethodPost && r.URL.Path == "/api/kv-lease":
		s.serveLease(w, body)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// goDown makes the store answer nothing, or answer again. Watches that wait are cut. With lapse all leases end meanwhile.
func (s *store) goDown(down, lapse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if lapse {
		for id := range s.leases {
			s.end(id)
		}
	}
	s.wake()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.expire()
	found, ok := s.items[key]
	found.Current = s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, found)
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	page := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Current   uint64 `json:"current-rev"`
	}{Items: []item{}, Current: s.revision}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			page.Items = append(page.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	answer(w, http.StatusOK, page)
}

func (d *door) serveWatch(w http.ResponseWriter, r *http.Request) {
	s, query := d.store, r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	d.countWatch(1)
	defer d.countWatch(-1)
	for over := false; ; {
		s.mu.Lock()
		s.expire()
		result := struct {
			Events  []item `json:"events"`
			Current uint64 `json:"current-rev"`
		}{Events: []item{}, Current: s.revision}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				result.Events = append(result.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if d.isShut() || s.isDown() {
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut
		}
		if len(result.Events) > 0 || over {
			answer(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte) {
	var txn struct {
		Expect []item   `json:"expect"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range txn.Expect {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, e := range txn.Expect {
				if i, ok := s.items[e.Key]; ok {
					current = append(current, i)
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// operatorPut writes a key for the operator; its return is the confirmation.
func (s *store) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wake()
}

func (s *store) put(key string, value []byte, lease uint64) {
	old, ok := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveLease(w http.ResponseWriter, body []byte) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.Unmarshal(body, &in) != nil || in.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.revision++
	id, ttl := s.revision, time.Duration(in.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": in.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	s.expire()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.end(id)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}
