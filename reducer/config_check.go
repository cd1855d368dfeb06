package reducer

import "github.com/rosemaryhatch/rosemaryhatch/tables"

// Run applies the delta, if there is one, compares the content with its hash and checks the tables. It is a pure
// function that may take milliseconds, so it runs outside the control thread.
func (e CheckTables) Run() TablesChecked {
	document := e.Document
	if e.Delta != nil {
		header := tables.Document{Version: e.Delta.Version, Hash: e.Delta.Hash}
		var err error
		if document, err = tables.Apply(e.Base.Document(), *e.Delta); err != nil {
			return TablesChecked{Document: header, Damaged: true, Problem: err.Error()}
		}
	}
	if e.Delta == nil && tables.ContentHash(document.Routes, document.Pools) != document.Hash {
		return TablesChecked{Document: document, Damaged: true, Problem: "content does not match its hash"}
	}
	snapshot, err := tables.CheckFrom(e.Base, document)
	if err != nil {
		return TablesChecked{Document: document, Problem: err.Error()}
	}
	checked := TablesChecked{Document: document, Snapshot: snapshot}
	switch {
	case e.Delta != nil:
		checked.Delta = *e.Delta
	case e.Base != nil:
		checked.Delta = tables.Diff(e.Base.Document(), document)
	}
	return checked
}
