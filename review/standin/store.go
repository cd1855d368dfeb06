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

// item is one entry of the platform's store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	Current  uint64 `json:"current-rev,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	items   map[string]item
	leases  map[uint64]*storeLease
	events  []item
	rev     uint64
	changed chan struct{}
}

func startStore(ip string) (*store, error) {
	s := &store{items: map[string]item{}, leases: map[uint64]*storeLease{}, rev: 1, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", ip+":8142")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener)
	return s, nil
}

// putConfig writes the operator's configuration.
func (s *store) putConfig(config any) {
	text, _ := json.Marshal(config)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put("op/config", text, 0)
	s.wake()
}

func (s *store) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query, path := r.URL.Query(), r.URL.Path
	switch {
	case path == "/api/kv-key":
		i, ok := s.items[query.Get("key")]
		i.Current = s.rev
		status := http.StatusOK
		if !ok {
			status = http.StatusNotFound
		}
		reply(w, status, i)
	case path == "/api/kv-range":
		page := struct {
			Items     []item `json:"items"`
			Truncated bool   `json:"truncated"`
			Current   uint64 `json:"current-rev"`
		}{Items: []item{}, Current: s.rev}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				page.Items = append(page.Items, i)
			}
		}
		sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
		reply(w, http.StatusOK, page)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.txn(w, body)
	case path == "/api/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		json.Unmarshal(body, &in)
		s.rev++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.rev] = &storeLease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl-ms": in.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(path[len("/api/kv-keep/"):], 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[len("/api/kv-lease-end/"):], 10, 64)
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// watch waits for events. The caller holds the lock.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || wait == 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": s.rev})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		s.mu.Lock()
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
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
		w.WriteHeader(http.StatusBadRequest)
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
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, write := range in.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, write := range in.Writes {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
