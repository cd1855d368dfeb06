package operator

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Read-backs after a lost response: the store responds in milliseconds, and an outage longer than
// their sum (about 6 s) is left to the operator.
const (
	readBacks      = 6
	readBackFirst  = 100 * time.Millisecond
	readBackFactor = 2
)

// maxSwaps bounds the writes of one key in an edit. A further write follows only when the one before is
// known not to have taken effect because a zone reader confirmed the old document at a new revision.
const maxSwaps = 5

// Request asks for a new version.
type Request struct {
	Routes, Pools string
	Author        string
	EditID        string // unique; it tells after a lost response whether the write took effect
	Expect        uint64 // version that the tables were derived from, 0 for an empty store
	ExpectHighest bool   // accept whatever version is the highest known
	Nodes         []string
}

// Edit is the machine that writes a new version.
type Edit struct {
	request  Request
	phase    editPhase
	revision uint64          // of the key config when it was read
	held     tables.Document // in the store; version 0 when the store is empty
	raw      []byte          // text of held as stored
	next     tables.Document // to be written
	readBack int             // read-backs so far
	later    uint64          // version found in the store after a lost response
	copies   int             // writes of the copy in the history so far
	swaps    int             // writes of the key config so far
	warnings []string
	lastErr  error
}

type editPhase uint8

const (
	phaseReadConfig editPhase = iota
	phaseAskNodes
	phaseCopyHistory
	phaseCheckHistory
	phaseSwap
	phaseReadBack
	phaseReadHistory
)

// NewEdit returns a machine for a request whose tables are valid.
func NewEdit(request Request) *Edit { return &Edit{request: request} }

// Reduce implements Machine.
func (e *Edit) Reduce(event Event) []Effect {
	switch event := event.(type) {
	case Started:
		return []Effect{ReadKey{platform.KeyConfig}}
	case KeyRead:
		return e.keyRead(event)
	case NodesAsked:
		return e.nodesAsked(event)
	case Swapped:
		if e.phase == phaseCopyHistory {
			return e.copied(event)
		}
		return e.swapped(event)
	case Paused:
		if event.Interrupted {
			return e.unknown()
		}
		e.phase = phaseReadBack
		return []Effect{ReadKey{platform.KeyConfig}}
	}
	panic(fmt.Sprintf("operator: event %T does not belong to an edit", event))
}

func (e *Edit) keyRead(event KeyRead) []Effect {
	switch e.phase {
	case phaseReadConfig:
		return e.configRead(event)
	case phaseCheckHistory:
		return e.historyChecked(event)
	case phaseReadBack:
		return e.configReadBack(event)
	default:
		return e.historyReadBack(event)
	}
}

func (e *Edit) configRead(event KeyRead) []Effect {
	if event.Err != nil {
		return e.fail("the store cannot be read, expected the key %q: %v", platform.KeyConfig, event.Err)
	}
	e.revision = event.Entry.Revision
	if e.revision > 0 {
		document, err := decodeDocument(platform.KeyConfig, event.Entry)
		if err != nil {
			return e.fail("%v", err)
		}
		e.held, e.raw = document, event.Entry.Value
	}
	if len(e.request.Nodes) == 0 {
		return e.prepare(e.held.Version, "the store")
	}
	e.phase = phaseAskNodes
	return []Effect{AskNodes{Addresses: e.request.Nodes}}
}

func (e *Edit) nodesAsked(event NodesAsked) []Effect {
	highest, where := e.held.Version, "the store"
	for _, answer := range event.Answers {
		if answer.Problem != "" {
			e.warn("node at %s was not asked for its version: %s", answer.Address, answer.Problem)
			continue
		}
		if answer.Status.Version.Number > highest {
			highest, where = answer.Status.Version.Number, "node "+answer.Status.Node
		}
	}
	return e.prepare(highest, where)
}

// prepare builds the new version on top of the highest one known.
func (e *Edit) prepare(highest uint64, where string) []Effect {
	if !e.request.ExpectHighest && highest != e.request.Expect {
		return e.conflict(e.held, "expected version %d, %s has version %d", e.request.Expect, where, highest)
	}
	e.next = tables.Document{
		Version: highest + 1, EditID: e.request.EditID, Author: e.request.Author,
		Routes: e.request.Routes, Pools: e.request.Pools,
		Hash: tables.ContentHash(e.request.Routes, e.request.Pools),
	}
	if e.revision == 0 {
		return e.swap()
	}
	e.phase = phaseCopyHistory
	return []Effect{Swap{Key: historyKey(e.held.Version), Revision: 0, Value: e.raw}}
}

// copied continues once the version to be replaced is in the history. Nothing has changed for the
// nodes yet, so that a failure here is only a failure.
func (e *Edit) copied(event Swapped) []Effect {
	switch event.Outcome {
	case platform.Applied:
		return e.swap()
	case platform.NotApplied:
		return e.compareCopy(event.Entry)
	default:
		e.lastErr = event.Err
		e.phase = phaseCheckHistory
		return []Effect{ReadKey{historyKey(e.held.Version)}}
	}
}

func (e *Edit) historyChecked(event KeyRead) []Effect {
	if event.Err != nil || event.Entry.Revision == 0 {
		return e.fail("the copy of version %d in %q is not confirmed: %v", e.held.Version, historyKey(e.held.Version), e.lastErr)
	}
	return e.compareCopy(event.Entry)
}

// compareCopy accepts a copy that an earlier edit made. A different document with the same number can
// only be left from a store that lost writes; it is replaced, because the version in the key config
// is the one that nodes may have.
func (e *Edit) compareCopy(found platform.Entry) []Effect {
	copied, err := decodeDocument(historyKey(e.held.Version), found)
	if err == nil && copied.EditID == e.held.EditID && copied.Hash == e.held.Hash {
		return e.swap()
	}
	if e.copies++; e.copies > maxSwaps {
		return e.fail("%q changes too often, expected a copy of version %d", historyKey(e.held.Version), e.held.Version)
	}
	e.warn("%q held another document with edit id %q and is replaced", historyKey(e.held.Version), copied.EditID)
	e.phase = phaseCopyHistory
	return []Effect{Swap{Key: historyKey(e.held.Version), Revision: found.Revision, Value: e.raw}}
}

func (e *Edit) swap() []Effect {
	value, err := json.Marshal(e.next)
	if err != nil {
		return e.fail("tables cannot be encoded: %v", err)
	}
	if len(value) > platform.MaxValueBytes {
		return e.fail("both tables take %d bytes as JSON, expected at most %d", len(value), platform.MaxValueBytes)
	}
	e.phase = phaseSwap
	e.swaps++
	return []Effect{Swap{Key: platform.KeyConfig, Revision: e.revision, Value: value}}
}

func (e *Edit) swapped(event Swapped) []Effect {
	switch event.Outcome {
	case platform.Applied:
		return e.done(0)
	case platform.NotApplied:
		return e.refused(event.Entry)
	default:
		e.lastErr = event.Err
		return e.pause()
	}
}

// refused follows a write that is known not to have taken effect.
func (e *Edit) refused(entry platform.Entry) []Effect {
	found, err := decodeDocument(platform.KeyConfig, entry)
	switch {
	case err != nil:
		return e.conflict(tables.Document{}, "another write came first: %v", err)
	case e.confirmed(found, entry) && e.swaps < maxSwaps:
		e.revision = entry.Revision
		return e.swap()
	default:
		return e.conflict(found, "version %d by %s came first", found.Version, found.Author)
	}
}

// confirmed reports whether an entry is the document that this edit replaces, written again unchanged
// by a zone reader at a later revision.
func (e *Edit) confirmed(found tables.Document, entry platform.Entry) bool {
	return found == e.held && entry.Revision > e.revision
}

// configReadBack looks for the edit id after a lost response.
func (e *Edit) configReadBack(event KeyRead) []Effect {
	if event.Err != nil || event.Entry.Revision <= e.revision {
		return e.pause() // the write may still be under way, or the read is older than the write
	}
	found, err := decodeDocument(platform.KeyConfig, event.Entry)
	if err != nil {
		return e.pause()
	}
	return e.judge(found, event.Entry)
}

// judge decides by a document that was written after the one which this edit replaces. Once the
// revision has moved on, a write that is still under way can no longer take effect.
func (e *Edit) judge(found tables.Document, entry platform.Entry) []Effect {
	switch {
	case found.EditID == e.next.EditID:
		return e.done(0)
	case found.Version > e.next.Version:
		e.later = found.Version
		e.phase = phaseReadHistory
		return []Effect{ReadKey{historyKey(e.next.Version)}}
	default:
		return e.refused(entry)
	}
}

// historyReadBack looks for the edit id where the version would be if it was written and replaced.
func (e *Edit) historyReadBack(event KeyRead) []Effect {
	if event.Err != nil || event.Entry.Revision == 0 {
		return e.pause()
	}
	found, err := decodeDocument(historyKey(e.next.Version), event.Entry)
	switch {
	case err != nil:
		return e.pause()
	case found.EditID == e.next.EditID:
		return e.done(e.later)
	default:
		return e.conflict(found, "version %d by %s came first", found.Version, found.Author)
	}
}

func (e *Edit) pause() []Effect {
	if e.readBack >= readBacks {
		return e.unknown()
	}
	wait := readBackFirst
	for range e.readBack {
		wait *= readBackFactor
	}
	e.readBack++
	return []Effect{Pause{wait}}
}

func (e *Edit) warn(format string, args ...any) {
	e.warnings = append(e.warnings, fmt.Sprintf(format, args...))
}

func (e *Edit) finish(result Result) []Effect {
	result.EditID, result.Warnings = e.request.EditID, e.warnings
	return []Effect{Finish{result}}
}

func (e *Edit) done(superseded uint64) []Effect {
	return e.finish(Result{Outcome: Done, Version: e.next.Version, Hash: e.next.Hash, Superseded: superseded})
}

func (e *Edit) fail(format string, args ...any) []Effect {
	return e.finish(Result{Outcome: Failed, Problem: fmt.Sprintf(format, args...)})
}

func (e *Edit) conflict(other tables.Document, format string, args ...any) []Effect {
	result := Result{Outcome: Conflict, Problem: fmt.Sprintf(format, args...)}
	if other.Version > 0 {
		result.Other = infoOf(other)
		result.Difference = Difference(other, tables.Document{Routes: e.request.Routes, Pools: e.request.Pools})
	}
	return e.finish(result)
}

func (e *Edit) unknown() []Effect {
	problem := fmt.Sprintf("version %d may or may not be in the store: neither %q nor %q has edit id %s",
		e.next.Version, platform.KeyConfig, historyKey(e.next.Version), e.next.EditID)
	if e.lastErr != nil {
		problem += ": " + e.lastErr.Error()
	}
	return e.finish(Result{Outcome: Unknown, Version: e.next.Version, Hash: e.next.Hash, Problem: problem})
}

func historyKey(version uint64) string {
	return platform.KeyHistoryPrefix + strconv.FormatUint(version, 10)
}

// decodeDocument reads a document from an entry of the store.
func decodeDocument(key string, entry platform.Entry) (tables.Document, error) {
	document, err := platform.DecodeDocument(entry.Value)
	if err != nil {
		return tables.Document{}, fmt.Errorf("store key %q holds no document, expected JSON with version, edit_id, author, routes, pools and hash: %w", key, err)
	}
	return document, nil
}
