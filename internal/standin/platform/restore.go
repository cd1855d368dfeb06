package platform

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

// contents is what a copy of the store holds.
type contents struct {
	items    map[string]kv.Item
	leases   map[uint64]time.Duration // TTL by id
	revision uint64
	events   []kv.Item
}

// copyContents returns a copy of what the store holds. The caller holds the lock.
func (s *Server) copyContents() contents {
	s.expireLeases(time.Now())
	c := contents{items: maps.Clone(s.items), leases: map[uint64]time.Duration{}, revision: s.revision, events: slices.Clone(s.events)}
	for id, granted := range s.leases {
		c.leases[id] = granted.ttl
	}
	return c
}

// restore puts the last copy in place of what the store holds and begins a new era. What was written since is gone, leases too,
// and their numbers are given out again. The leases of the copy run from now on. The caller holds the lock.
func (s *Server) restore() error {
	if s.copied.items == nil {
		return errors.New("there is no copy of the store; make one with the kind copy")
	}
	s.items, s.events, s.revision = maps.Clone(s.copied.items), slices.Clone(s.copied.events), s.copied.revision
	s.previous, s.leases = maps.Clone(s.copied.items), map[uint64]*lease{}
	now := time.Now()
	for id, ttl := range s.copied.leases {
		s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl)}
	}
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.era.Add(1)
	s.cutWatches()
	return nil
}

// cutWatches closes the connections of all waiting watches. The caller holds the lock.
func (s *Server) cutWatches() {
	close(s.faults.cutWatches)
	s.faults.cutWatches = make(chan struct{})
}

// eraWriter states the era of the store in the head of each response, as it is when the response is written.
type eraWriter struct {
	http.ResponseWriter
	server *Server
}

func (w eraWriter) WriteHeader(status int) {
	w.Header().Set(kv.HeaderEra, strconv.FormatUint(w.server.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}
