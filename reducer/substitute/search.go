// Package substitute finds a node that the platform's store answers, to read it in place of a reader that the store
// does not answer. The store may turn away just those nodes that call it. Search is the side of such a reader. It is
// pure: times come in, decisions come out.
package substitute

import (
	"slices"
	"time"
)

const (
	// answerTimeout bounds the wait for a node that was asked: it makes a call to the store, which takes 1 s at most,
	// before it answers.
	answerTimeout = 1500 * time.Millisecond
	// renewInterval is how often a substitute is asked again. It reads for RoleTTL after each time.
	renewInterval = 2 * time.Second
	// RoleTTL is how long a substitute reads the store after it was asked.
	RoleTTL = 5 * time.Second
	// firstPause and maxPause limit the pause after a node that the store does not answer either, which doubles:
	// while the store answers nobody, the calls of those that are asked stay few.
	firstPause = 250 * time.Millisecond
	maxPause   = 8 * time.Second
)

// Search is the search of one reader for a substitute. The zero value is ready to use.
type Search struct {
	node    string // asked last, or the substitute; empty if there is none
	askedAt time.Duration
	served  bool // node has said that the store answers it
	waiting bool // for the answer of node
	pause   time.Duration
	nextAt  time.Duration   // when the next node may be asked
	refused map[string]bool // since the search began anew
}

// Substitute returns the node that reads in place of this one, if there is one.
func (s *Search) Substitute() (node string, ok bool) { return s.node, s.served }

// Next returns the node to ask now, if any. candidates are in the order in which they are asked, the same at all
// readers of a zone, so that these share a substitute.
func (s *Search) Next(now time.Duration, candidates []string) (node string, ok bool) {
	if s.waiting && now-s.askedAt >= answerTimeout {
		s.reject(now)
	}
	switch {
	case s.waiting, s.served && now-s.askedAt < renewInterval, now < s.nextAt:
		return "", false
	case s.served && slices.Contains(candidates, s.node):
		return s.ask(s.node, now), true
	}
	s.served = false
	for _, candidate := range candidates {
		if !s.refused[candidate] {
			return s.ask(candidate, now), true
		}
	}
	clear(s.refused) // all were asked: begin again after the pause
	s.node, s.nextAt = "", now+s.pause
	return "", false
}

func (s *Search) ask(node string, now time.Duration) string {
	s.node, s.askedAt, s.waiting = node, now, true
	return node
}

// reject notes that the node that was asked is no substitute.
func (s *Search) reject(now time.Duration) {
	if s.refused == nil {
		s.refused = map[string]bool{}
	}
	s.refused[s.node] = true
	s.pause = min(max(2*s.pause, firstPause), maxPause)
	s.served, s.waiting, s.nextAt = false, false, now+s.pause
}

// Answered notes the answer of a node that was asked: whether the store answers it.
func (s *Search) Answered(node string, served bool, now time.Duration) {
	switch {
	case node != s.node || !s.waiting:
	case served:
		s.served, s.waiting, s.pause = true, false, 0
		clear(s.refused)
	default:
		s.reject(now)
	}
}

// End ends the search: the store answers this node again. The substitute stops by itself.
func (s *Search) End() { *s = Search{} }
