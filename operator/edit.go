package operator

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// When the response to a write is lost, the machine reads the key back, with exponential backoff. The store
// responds in milliseconds. If it is down for longer than the sum of the pauses (about 6 s), the outcome is Unknown
// and the operator has to decide.
const (
	maxReadBacks        = 6
	firstReadBackPause  = 100 * time.Millisecond
	readBackPauseFactor = 2
)

// maxWritesPerKey bounds the writes of one key in an edit. The config key is written again only when the previous write
// is known not to have taken effect, because a zone reader confirmed the old document at a new revision.
const maxWritesPerKey = 5

// EditRequest describes the new version that an Edit writes.
type EditRequest struct {
	Routes, Pools string
	Author        string
	EditID        string   // unique; identifies the write in the store when its response was lost
	Expect        uint64   // version that the tables are based on, 0 for an empty store
	ExpectHighest bool     // ignore Expect and build on the highest known version
	Nodes         []string // operator addresses of nodes whose versions count as known
}

// Edit is the machine that writes a new version of the tables.
type Edit struct {
	request             EditRequest
	phase               editPhase
	revision            uint64          // of the config key; the next write to it depends on this revision
	stored              tables.Document // document in the store; version 0 when the store is empty
	storedText          []byte          // encoded form of stored
	next                tables.Document // document to write
	readBackCount       int             // read-backs so far
	laterVersion        uint64          // version found in the store after a lost response
	historyReplacements int             // replacements of the copy in the history so far
	configWrites        int             // writes to the config key so far
	warnings            []string
	lastErr             error
}

type editPhase uint8

const (
	phaseReadConfig editPhase = iota
	phaseQueryNodes
	phaseWriteHistory
	phaseCheckHistoryCopy
	phaseWriteConfig
	phaseReadBackConfig
	phaseReadBackHistory
)

// NewEdit returns a machine for a request. The tables must be valid: the machine does not check them.
func NewEdit(request EditRequest) *Edit { return &Edit{request: request} }

// Reduce implements Machine.
func (e *Edit) Reduce(event Event) []Effect {
	switch event := event.(type) {
	case Started:
		return []Effect{ReadKey{platform.KeyConfig}}
	case KeyRead:
		return e.handleKeyRead(event)
	case NodesQueried:
		return e.handleNodesQueried(event)
	case Swapped:
		if e.phase == phaseWriteHistory {
			return e.handleHistoryWritten(event)
		}
		return e.handleConfigWritten(event)
	case Paused:
		if event.Interrupted {
			return e.finishUnknown()
		}
		e.phase = phaseReadBackConfig
		return []Effect{ReadKey{platform.KeyConfig}}
	}
	panic(fmt.Sprintf("operator: event %T does not belong to an edit", event))
}

func (e *Edit) handleKeyRead(event KeyRead) []Effect {
	switch e.phase {
	case phaseReadConfig:
		return e.handleConfigRead(event)
	case phaseCheckHistoryCopy:
		return e.handleHistoryCopyRead(event)
	case phaseReadBackConfig:
		return e.handleConfigReadBack(event)
	default:
		return e.handleHistoryReadBack(event)
	}
}

func (e *Edit) handleConfigRead(event KeyRead) []Effect {
	if event.Err != nil {
		return e.finishFailed("the store cannot be read, expected the key %q: %v", platform.KeyConfig, event.Err)
	}
	e.revision = event.Entry.Revision
	if e.revision > 0 {
		document, err := decodeDocument(platform.KeyConfig, event.Entry)
		if err != nil {
			return e.finishFailed("%v", err)
		}
		e.stored, e.storedText = document, event.Entry.Value
	}
	if len(e.request.Nodes) == 0 {
		return e.prepareVersion(e.stored.Version, "the store")
	}
	e.phase = phaseQueryNodes
	return []Effect{QueryNodes{Addresses: e.request.Nodes}}
}

func (e *Edit) handleNodesQueried(event NodesQueried) []Effect {
	highest, holder := e.stored.Version, "the store"
	for _, answer := range event.Answers {
		if answer.Problem != "" {
			e.addWarning("node at %s was not asked for its version: %s", answer.Address, answer.Problem)
			continue
		}
		if answer.Status.Version.Number > highest {
			highest, holder = answer.Status.Version.Number, "node "+answer.Status.Node
		}
	}
	return e.prepareVersion(highest, holder)
}

// prepareVersion builds the new document, numbered one above the highest known version. The holder is where that
// version was found.
func (e *Edit) prepareVersion(highest uint64, holder string) []Effect {
	if !e.request.ExpectHighest && highest != e.request.Expect {
		return e.finishConflict(e.stored, "expected version %d, %s has version %d", e.request.Expect, holder, highest)
	}
	e.next = tables.Document{
		Version: highest + 1, EditID: e.request.EditID, Author: e.request.Author,
		Routes: e.request.Routes, Pools: e.request.Pools,
		Hash: tables.ContentHash(e.request.Routes, e.request.Pools),
	}
	if e.revision == 0 {
		return e.writeConfig()
	}
	e.phase = phaseWriteHistory
	return []Effect{Swap{Key: historyKey(e.stored.Version), Revision: 0, Value: e.storedText}}
}

// handleHistoryWritten handles the result of copying the version to be replaced into the history. The config key is
// not written yet, so a failure here ends as Failed, not as Unknown.
func (e *Edit) handleHistoryWritten(event Swapped) []Effect {
	switch event.Outcome {
	case platform.Applied:
		return e.writeConfig()
	case platform.NotApplied:
		return e.checkHistoryCopy(event.Entry)
	default:
		e.lastErr = event.Err
		e.phase = phaseCheckHistoryCopy
		return []Effect{ReadKey{historyKey(e.stored.Version)}}
	}
}

// handleHistoryCopyRead handles the read that follows when the write to the history has an unknown outcome.
func (e *Edit) handleHistoryCopyRead(event KeyRead) []Effect {
	if event.Err != nil || event.Entry.Revision == 0 {
		return e.finishFailed("the copy of version %d in %q is not confirmed: %v", e.stored.Version, historyKey(e.stored.Version), e.lastErr)
	}
	return e.checkHistoryCopy(event.Entry)
}

// checkHistoryCopy accepts a copy that an earlier edit made. A different document with the same version number exists
// only if the store lost writes. It is replaced, because nodes may have the version that is in the config key.
func (e *Edit) checkHistoryCopy(found platform.Entry) []Effect {
	historyCopy, err := decodeDocument(historyKey(e.stored.Version), found)
	if err == nil && historyCopy.EditID == e.stored.EditID && historyCopy.Hash == e.stored.Hash {
		return e.writeConfig()
	}
	if e.historyReplacements++; e.historyReplacements > maxWritesPerKey {
		return e.finishFailed("%q changes too often, expected a copy of version %d", historyKey(e.stored.Version), e.stored.Version)
	}
	e.addWarning("%q held another document with edit id %q and is replaced", historyKey(e.stored.Version), historyCopy.EditID)
	e.phase = phaseWriteHistory
	return []Effect{Swap{Key: historyKey(e.stored.Version), Revision: found.Revision, Value: e.storedText}}
}

// writeConfig writes the new document to the config key if its revision has not changed.
func (e *Edit) writeConfig() []Effect {
	value, err := json.Marshal(e.next)
	if err != nil {
		return e.finishFailed("tables cannot be encoded: %v", err)
	}
	if len(value) > platform.MaxValueBytes {
		return e.finishFailed("both tables take %d bytes as JSON, expected at most %d", len(value), platform.MaxValueBytes)
	}
	e.phase = phaseWriteConfig
	e.configWrites++
	return []Effect{Swap{Key: platform.KeyConfig, Revision: e.revision, Value: value}}
}

func (e *Edit) handleConfigWritten(event Swapped) []Effect {
	switch event.Outcome {
	case platform.Applied:
		return e.finishDone(0)
	case platform.NotApplied:
		return e.handleNotApplied(event.Entry)
	default:
		e.lastErr = event.Err
		return e.pauseBeforeReadBack()
	}
}

// handleNotApplied handles a write to the config key that is known not to have taken effect. It writes again if a zone
// reader only confirmed the old document, and reports a conflict otherwise.
func (e *Edit) handleNotApplied(entry platform.Entry) []Effect {
	found, err := decodeDocument(platform.KeyConfig, entry)
	switch {
	case err != nil:
		return e.finishConflict(tables.Document{}, "another write came first: %v", err)
	case e.isConfirmation(found, entry) && e.configWrites < maxWritesPerKey:
		e.revision = entry.Revision
		return e.writeConfig()
	default:
		return e.finishConflict(found, "version %d by %s came first", found.Version, found.Author)
	}
}

// isConfirmation reports whether an entry is the document that this edit replaces, rewritten unchanged by a zone
// reader at a later revision.
func (e *Edit) isConfirmation(found tables.Document, entry platform.Entry) bool {
	return found == e.stored && entry.Revision > e.revision
}

// handleConfigReadBack looks for the edit id in the config key after the response to a write was lost.
func (e *Edit) handleConfigReadBack(event KeyRead) []Effect {
	if event.Err != nil || event.Entry.Revision <= e.revision {
		return e.pauseBeforeReadBack() // the write may still be in flight, or the read was stale
	}
	found, err := decodeDocument(platform.KeyConfig, event.Entry)
	if err != nil {
		return e.pauseBeforeReadBack()
	}
	return e.resolveWrite(found, event.Entry)
}

// resolveWrite determines the outcome of a write from a document at a later revision than the one that this edit
// replaces. At that revision a write that is still in flight can no longer take effect.
func (e *Edit) resolveWrite(found tables.Document, entry platform.Entry) []Effect {
	switch {
	case found.EditID == e.next.EditID:
		return e.finishDone(0)
	case found.Version > e.next.Version:
		e.laterVersion = found.Version
		e.phase = phaseReadBackHistory
		return []Effect{ReadKey{historyKey(e.next.Version)}}
	default:
		return e.handleNotApplied(entry)
	}
}

// handleHistoryReadBack looks for the edit id in the history, which has the new version if it was written and replaced.
func (e *Edit) handleHistoryReadBack(event KeyRead) []Effect {
	if event.Err != nil || event.Entry.Revision == 0 {
		return e.pauseBeforeReadBack()
	}
	found, err := decodeDocument(historyKey(e.next.Version), event.Entry)
	switch {
	case err != nil:
		return e.pauseBeforeReadBack()
	case found.EditID == e.next.EditID:
		return e.finishDone(e.laterVersion)
	default:
		return e.finishConflict(found, "version %d by %s came first", found.Version, found.Author)
	}
}

// pauseBeforeReadBack waits before the next read-back. After the last one it ends the edit as Unknown.
func (e *Edit) pauseBeforeReadBack() []Effect {
	if e.readBackCount >= maxReadBacks {
		return e.finishUnknown()
	}
	pause := firstReadBackPause
	for range e.readBackCount {
		pause *= readBackPauseFactor
	}
	e.readBackCount++
	return []Effect{Pause{pause}}
}

func (e *Edit) addWarning(format string, args ...any) {
	e.warnings = append(e.warnings, fmt.Sprintf(format, args...))
}

func (e *Edit) finish(result Result) []Effect {
	result.EditID, result.Warnings = e.request.EditID, e.warnings
	return []Effect{Finish{result}}
}

// finishDone ends the edit as Done. The argument is the version that has already replaced the new one, or 0.
func (e *Edit) finishDone(superseded uint64) []Effect {
	return e.finish(Result{Outcome: Done, Version: e.next.Version, Hash: e.next.Hash, Superseded: superseded})
}

func (e *Edit) finishFailed(format string, args ...any) []Effect {
	return e.finish(Result{Outcome: Failed, Problem: fmt.Sprintf(format, args...)})
}

// finishConflict ends the edit as Conflict, with the difference from the other document if it has a version.
func (e *Edit) finishConflict(other tables.Document, format string, args ...any) []Effect {
	result := Result{Outcome: Conflict, Problem: fmt.Sprintf(format, args...)}
	if other.Version > 0 {
		result.Other = newVersionInfo(other)
		result.Difference = Difference(other, tables.Document{Routes: e.request.Routes, Pools: e.request.Pools})
	}
	return e.finish(result)
}

func (e *Edit) finishUnknown() []Effect {
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

// decodeDocument decodes the document in an entry of the store. The key is for the error message.
func decodeDocument(key string, entry platform.Entry) (tables.Document, error) {
	document, err := platform.DecodeDocument(entry.Value)
	if err != nil {
		return tables.Document{}, fmt.Errorf("store key %q holds no document, expected JSON with version, edit_id, author, routes, pools and hash: %w", key, err)
	}
	return document, nil
}
