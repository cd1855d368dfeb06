package platform

import (
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

// maxChanges bounds the changes that are kept; the oldest half is dropped beyond it.
const maxChanges = 1 << 14

// Change is a change of a key and the time at which it took effect. Faults neither hide nor drop changes, so that tests
// see what the store did while the nodes could not.
type Change struct {
	kv.Item
	At time.Time `json:"at"`
}

// Changes returns the changes of the keys with a prefix, oldest first.
func (s *Server) Changes(prefix string) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Change{}
	for _, change := range s.changes {
		if strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found
}

// appendEvent records a change for watches and for Changes. The caller holds the lock.
func (s *Server) appendEvent(item kv.Item) {
	s.events = append(s.events, item)
	if len(s.changes) >= maxChanges {
		s.changes = append([]Change{}, s.changes[maxChanges/2:]...)
	}
	s.changes = append(s.changes, Change{Item: item, At: time.Now()})
}
