package deregistration

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxInstances bounds the instances in a ledger. One address has a few in the time by which a registration may be late.
	maxInstances = 32
	// wantedHolders is how many other nodes have to hold a record that the store has not confirmed, if there are that many.
	wantedHolders = 2
)

// Ledger is what the node beside a backend server knows of its deregistrations, and who waits for their
// acknowledgement. The zero value is ready to use.
//
// Invariant: only a kept record is acknowledged: one that the store has confirmed and another node holds. The store may be
// restored from a copy that lacks it, and the process may end before it knows. Once a record is overdue, the store or
// wantedHolders other nodes will do.
type Ledger struct {
	entries map[string]*entry // by instance
	waiting map[Exchange]Record
}

// Exchange identifies a message of the backend server that waits for its acknowledgement.
type Exchange uint64

// Kind says how a backend server has made its leave known.
type Kind uint8

const (
	// Draining is a registration that says so. A later one of the same incarnation may take it back.
	Draining Kind = iota
	// Final is a deregistration, and any record that another process has kept.
	Final
)

// entry is the newest deregistration of an instance.
type entry struct {
	at      int64 // as in Record
	final   int64 // the newest of these of the kind Final
	stored  int64 // the newest of these that the store has confirmed
	overdue int64 // the newest of these that is overdue
	notedAt time.Duration
	holders map[string]bool // processes of other nodes that hold it
}

// Note adds a record.
func (l *Ledger) Note(r Record, kind Kind, now time.Duration) {
	if l.entries == nil {
		l.entries = map[string]*entry{}
	}
	e := l.entries[r.Instance]
	if e == nil {
		l.makeRoom()
		e = &entry{holders: map[string]bool{}}
		l.entries[r.Instance] = e
	}
	if r.At > e.at {
		e.at, e.notedAt = r.At, now
		clear(e.holders)
	}
	if kind == Final {
		e.final = max(e.final, r.At)
	}
}

// makeRoom removes the entry that was noted first if there are maxInstances.
func (l *Ledger) makeRoom() {
	if len(l.entries) < maxInstances {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.entries)), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.entries[a].notedAt, l.entries[b].notedAt), cmp.Compare(a, b))
	})
	delete(l.entries, oldest)
}

// Find returns the newest record of an instance.
func (l *Ledger) Find(instance string) (Record, bool) {
	e := l.entries[instance]
	if e == nil {
		return Record{}, false
	}
	return Record{instance, e.at}, true
}

// Applies reports whether the incarnation of an instance that started at a time has deregistered for good.
func (l *Ledger) Applies(instance string, born int64) bool {
	e := l.entries[instance]
	return e != nil && e.final > 0 && born <= e.final
}

// IsKept reports whether a record outlives this process. peers is the number of other nodes that could hold it.
func (l *Ledger) IsKept(r Record, peers int) bool {
	e := l.entries[r.Instance]
	if e == nil || e.at < r.At {
		return false
	}
	stored, enough := e.stored >= r.At, len(e.holders) >= max(1, min(peers, wantedHolders))
	if e.overdue >= r.At {
		return stored || enough
	}
	return stored && (peers == 0 || len(e.holders) > 0)
}

// Overdue notes that either the store or other nodes do not answer in time.
func (l *Ledger) Overdue(r Record) {
	if e := l.entries[r.Instance]; e != nil {
		e.overdue = max(e.overdue, r.At)
	}
}

// Stored notes that the store has confirmed a record.
func (l *Ledger) Stored(r Record) {
	if e := l.entries[r.Instance]; e != nil {
		e.stored = max(e.stored, r.At)
	}
}

// IsStored reports whether the store has confirmed a record.
func (l *Ledger) IsStored(r Record) bool {
	e := l.entries[r.Instance]
	return e != nil && e.stored >= r.At
}

// ForgetStored notes that the store may have lost all records, and reports whether it had confirmed any.
func (l *Ledger) ForgetStored() bool {
	had := false
	for _, e := range l.entries {
		had = had || e.stored > 0
		e.stored = 0
	}
	return had
}

// Recent returns the records younger than MaxDelay, sorted by instance: a registration of before may still arrive.
func (l *Ledger) Recent(now time.Duration) []Record {
	return slices.DeleteFunc(l.Records(), func(r Record) bool { return now-l.entries[r.Instance].notedAt > MaxDelay })
}

// HeldBy notes that another node holds a record. node names its process.
func (l *Ledger) HeldBy(node string, r Record) {
	if e := l.entries[r.Instance]; e != nil && r.At >= e.at {
		e.holders[node] = true
	}
}

// IsHeld reports whether any other node holds a record.
func (l *Ledger) IsHeld(r Record) bool {
	e := l.entries[r.Instance]
	return e != nil && e.at >= r.At && len(e.holders) > 0
}

// IsHeldBy reports whether another node holds a record.
func (l *Ledger) IsHeldBy(node string, r Record) bool {
	e := l.entries[r.Instance]
	return e != nil && e.at >= r.At && e.holders[node]
}

// Records returns all records, sorted by instance.
func (l *Ledger) Records() []Record {
	var records []Record
	for _, instance := range slices.Sorted(maps.Keys(l.entries)) {
		records = append(records, Record{instance, l.entries[instance].at})
	}
	return records
}

// Unstored returns the records younger than Retention that the store has not confirmed, sorted by instance.
func (l *Ledger) Unstored(now time.Duration) []Record {
	return slices.DeleteFunc(l.Records(), func(r Record) bool {
		return l.IsStored(r) || now-l.entries[r.Instance].notedAt > Retention
	})
}

// UnstoredFor returns the age of the newest record that the store has not confirmed.
func (l *Ledger) UnstoredFor(now time.Duration) time.Duration {
	age := Retention
	for _, r := range l.Unstored(now) {
		age = min(age, now-l.entries[r.Instance].notedAt)
	}
	return age
}

// Await makes an exchange wait until its record is kept.
func (l *Ledger) Await(exchange Exchange, r Record) {
	if l.waiting == nil {
		l.waiting = map[Exchange]Record{}
	}
	l.waiting[exchange] = r
}

// Waiting returns the record that an exchange waits for.
func (l *Ledger) Waiting(exchange Exchange) (Record, bool) {
	r, ok := l.waiting[exchange]
	return r, ok
}

// End ends the wait of an exchange.
func (l *Ledger) End(exchange Exchange) { delete(l.waiting, exchange) }

// Kept is an exchange whose record is kept.
type Kept struct {
	Exchange Exchange
	Record   Record
}

// TakeKept ends the wait of the exchanges whose records are kept and returns them in order.
func (l *Ledger) TakeKept(peers int) []Kept {
	var kept []Kept
	for _, exchange := range slices.Sorted(maps.Keys(l.waiting)) {
		if r := l.waiting[exchange]; l.IsKept(r, peers) {
			kept = append(kept, Kept{exchange, r})
			delete(l.waiting, exchange)
		}
	}
	return kept
}
