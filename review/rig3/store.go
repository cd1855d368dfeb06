package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, as the users' PROTOCOL page writes it.
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

// data is what a copy of the store holds.
type data struct {
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]lease
}

func (d data) clone() data {
	d.items, d.leases = maps.Clone(d.items), maps.Clone(d.leases)
	d.events = append([]item(nil), d.events...)
	return d
}

// store is the platform's metadata store. While it is away it takes no connection and drops those that are open.
type store struct {
	address string
	mu      sync.Mutex
	data
	era     int
	leaseID uint64
	calls   int // since the start
	changed chan struct{}
	server  *http.Server
}

func newStore(address string) *store {
	s := &store{address: address, era: 1, leaseID: 77000, changed: make(chan struct{})}
	s.data = data{revision: 100, items: map[string]item{}, leases: map[uint64]lease{}}
	return s
}

// open takes connections.
func (s *store) open() {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		blocked("store: %v", err)
	}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
}

// away ends all connections and takes none.
func (s *store) away() { s.server.Close() }

// copyNow returns a copy of the store.
func (s *store) copyNow() data {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.clone()
}

// restore puts a copy in place of what the store holds. The store must be away.
func (s *store) restore(d data) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d.clone()
	s.era++
	now := time.Now()
	for id, l := range s.leases { // the leases of the copy run on from the return
		l.expires = now.Add(l.ttl)
		s.leases[id] = l
	}
	s.wake()
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

// operatorPut writes an item as the operator does and returns the revision.
func (s *store) operatorPut(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wake()
	return s.revision
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			found = append(found, k)
		}
	}
	sort.Strings(found)
	return found
}

func (s *store) put(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, i := range s.items {
		if i.Lease == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, k := range gone {
		s.drop(k)
	}
	s.wake()
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.calls++
	s.expire()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		i, ok := s.items[q.Get("key")]
		i.Current = s.revision
		if !ok {
			reply(w, 404, i)
			return
		}
		reply(w, 200, i)
	case path == "/api/kv-range":
		out := struct {
			Items     []item `json:"items"`
			Truncated bool   `json:"truncated"`
			Current   uint64 `json:"current-rev"`
		}{Items: []item{}, Current: s.revision}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				out.Items = append(out.Items, i)
			}
		}
		sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
		reply(w, 200, out)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.transact(w, body)
	case path == "/api/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 1000 {
			reply(w, 400, struct{}{})
			return
		}
		s.leaseID++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.leaseID] = lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.leaseID, "ttl-ms": in.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			reply(w, 404, struct{}{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
		reply(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.endLease(id)
		reply(w, 200, struct{}{})
	default:
		reply(w, 404, struct{}{})
	}
}

// watch answers a watch. One from a revision that the store doesn't have gets 410. The lock is held on entry and exit.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		reply(w, 400, struct{}{})
		return
	}
	if after > s.revision {
		reply(w, 410, struct{}{})
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	era, ended := s.era, false
	for {
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || ended || s.era != era {
			reply(w, 200, map[string]any{"events": events, "current-rev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
	}
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil {
		reply(w, 400, struct{}{})
		return
	}
	for _, e := range in.Expect {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, e := range in.Expect {
				if i, ok := s.items[e.Key]; ok {
					items = append(items, i)
				}
			}
			reply(w, 412, map[string]any{"items": items})
			return
		}
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			reply(w, 404, struct{}{})
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		s.drop(k)
	}
	s.wake()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
