package operator

import "context"

// HistoryEntry describes one version in the history.
type HistoryEntry struct {
	VersionInfo
	Current bool `json:"current,omitempty"`
	Changes int  `json:"changes"` // number of changes from the next older entry; -1 when it is not known
}

// FetchHistory returns up to limit versions, newest first, and reads at most limit keys of the store. Version numbers
// that were skipped because nodes had a higher version than the store leave gaps, which count towards the limit.
func (r *Runner) FetchHistory(ctx context.Context, limit int) ([]HistoryEntry, error) {
	newer, err := r.FetchCurrent(ctx)
	if err != nil || newer.Version == 0 {
		return nil, err
	}
	out := []HistoryEntry{{VersionInfo: *newVersionInfo(newer), Current: true, Changes: -1}}
	for version, reads := newer.Version-1, 1; version > 0 && reads < limit; version, reads = version-1, reads+1 {
		older, found, err := r.readDocument(ctx, historyKey(version))
		if err != nil {
			return nil, err
		}
		if !found {
			continue
		}
		out[len(out)-1].Changes = len(Difference(older, newer))
		out = append(out, HistoryEntry{VersionInfo: *newVersionInfo(older), Changes: -1})
		newer = older
	}
	return out, nil
}
