package pump

import (
	"sync"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// checkResults caches the results of checks of whole documents: reducer.TablesChecked by checkKey, and the validity
// as a bool by tables.Document. A check is a pure function and its result is never modified, so all worlds share the
// cache. Without it, checks of the same few tables took 40% of a run.
var checkResults sync.Map

type checkKey struct{ document, base tables.Document }

// runCheck runs a check, or returns its cached result. Checks of deltas are not cached.
func runCheck(e reducer.CheckTables) reducer.TablesChecked {
	if e.Delta != nil {
		return e.Run()
	}
	key := checkKey{e.Document, e.Base.Document()}
	if cached, ok := checkResults.Load(key); ok {
		return cached.(reducer.TablesChecked)
	}
	result := e.Run()
	checkResults.Store(key, result)
	return result
}

// isValid reports whether a document passes its check.
func isValid(document tables.Document) bool {
	if cached, ok := checkResults.Load(document); ok {
		return cached.(bool)
	}
	_, err := tables.Check(document)
	checkResults.Store(document, err == nil)
	return err == nil
}
