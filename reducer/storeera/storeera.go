// Package storeera tells apart the eras of the platform's store. An era ends when the store is restored from an older copy:
// what was written since the copy is gone, and the numbers of its revisions are given out again. What a node remembers of
// the store by a revision, a lease or an acknowledgement holds only in the era in which it learned it.
package storeera

// Revision is a revision of the store. Numbers can be compared only within an era. The zero value comes before all others.
type Revision struct {
	Era    uint64 // 0 if the store states none
	Number uint64
}

// IsAfter reports whether r is of a later era than other, or of the same era and later.
func (r Revision) IsAfter(other Revision) bool {
	if r.Era != other.Era {
		return r.Era > other.Era
	}
	return r.Number > other.Number
}

// Finding says what the era of an answer means.
type Finding uint8

// The findings.
const (
	Same     Finding = iota // the answer is of the current era, or the store states none
	Begun                   // the answer is the first one of a new era, which is now the current one
	Outdated                // the answer is of an earlier era and says nothing about the store as it is now
)

// Tracker holds the current era, as far as the answers of the store have told it. The zero value is ready to use.
type Tracker struct {
	current uint64
	heard   uint64
}

// Current returns the current era, or 0 if no answer has stated one.
func (t *Tracker) Current() uint64 { return t.current }

// At returns the revision of the current era with a number.
func (t *Tracker) At(number uint64) Revision { return Revision{t.current, number} }

// Observe notes the era of an answer, 0 if it states none. The first era that a process learns is not a new one: the process
// has kept nothing in the store before it.
func (t *Tracker) Observe(era uint64) Finding {
	switch {
	case era == 0 || era == t.current:
		return Same
	case era < t.current:
		return Outdated
	case t.current == 0:
		t.current = era
		return Same
	default:
		t.current = era
		return Begun
	}
}

// Hear notes the era that another node has stated, and reports whether it ends the current one, if it is later than all that
// were seen or heard of. It does not become the current one: only the store itself outdates its answers, not a faulty peer.
func (t *Tracker) Hear(era uint64) bool {
	if era <= t.Latest() {
		return false
	}
	t.heard = era
	return t.current != 0
}

// Latest returns the latest era that was seen or heard of.
func (t *Tracker) Latest() uint64 { return max(t.current, t.heard) }
