package operator

import (
	"fmt"
	"sort"

	"gopkg.in/ini.v1"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Change is one difference between two versions of the tables.
type Change struct {
	Table   string `json:"table"` // "routes" or "pools"
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"` // empty when the whole section was added or removed
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Kind    string `json:"kind"` // "added", "removed", "changed", "layout" or "unreadable"
}

// String returns the change as one line that starts with +, - or ~.
func (c Change) String() string {
	location := c.Table
	if c.Section != "" {
		location += " [" + c.Section + "]"
	}
	if c.Key != "" {
		location += " " + c.Key
	}
	switch c.Kind {
	case "added":
		return fmt.Sprintf("+ %s%s", location, formatAssignment(c.Key, c.New))
	case "removed":
		return fmt.Sprintf("- %s%s", location, formatAssignment(c.Key, c.Old))
	case "changed":
		return fmt.Sprintf("~ %s: %q -> %q", location, c.Old, c.New)
	case "layout":
		return fmt.Sprintf("~ %s: only comments, order or layout", location)
	default:
		return fmt.Sprintf("~ %s: text differs and cannot be parsed", location)
	}
}

func formatAssignment(key, value string) string {
	if key == "" {
		return ""
	}
	return " = " + value
}

// Difference returns the changes from one version to another: routes before pools, then by section and key.
func Difference(from, to tables.Document) []Change {
	return append(diffTable("routes", from.Routes, to.Routes), diffTable("pools", from.Pools, to.Pools)...)
}

// diffTable compares the texts of a table. If they differ but no key does, the only change is of kind "layout"; if
// one of them cannot be parsed, it is of kind "unreadable".
func diffTable(table, from, to string) []Change {
	if from == to {
		return nil
	}
	old, oldErr := parseSections(from)
	updated, updatedErr := parseSections(to)
	if oldErr != nil || updatedErr != nil {
		return []Change{{Table: table, Kind: "unreadable"}}
	}
	var out []Change
	for _, section := range unionKeys(old, updated) {
		out = append(out, diffSection(table, section, old[section], updated[section])...)
	}
	if len(out) == 0 {
		out = []Change{{Table: table, Kind: "layout"}}
	}
	return out
}

// diffSection compares the keys of a section. A nil map means that the table does not have the section.
func diffSection(table, section string, old, updated map[string]string) []Change {
	switch {
	case updated == nil:
		return []Change{{Table: table, Section: section, Kind: "removed"}}
	case old == nil:
		out := []Change{{Table: table, Section: section, Kind: "added"}}
		return append(out, diffKeys(table, section, nil, updated)...)
	default:
		return diffKeys(table, section, old, updated)
	}
}

func diffKeys(table, section string, old, updated map[string]string) []Change {
	var out []Change
	for _, key := range unionKeys(old, updated) {
		before, inOld := old[key]
		after, inUpdated := updated[key]
		change := Change{Table: table, Section: section, Key: key, Old: before, New: after}
		switch {
		case inOld && inUpdated && before == after:
			continue
		case inOld && inUpdated:
			change.Kind = "changed"
		case inOld:
			change.Kind = "removed"
		default:
			change.Kind = "added"
		}
		out = append(out, change)
	}
	return out
}

// parseSections returns the keys and values of each section by its name. The default section is left out when it is
// empty.
func parseSections(text string) (map[string]map[string]string, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(text))
	if err != nil {
		return nil, err
	}
	out := map[string]map[string]string{}
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection || len(section.Keys()) > 0 {
			out[section.Name()] = section.KeysHash()
		}
	}
	return out, nil
}

func unionKeys[V any](a, b map[string]V) []string {
	seen := map[string]bool{}
	var out []string
	for _, m := range []map[string]V{a, b} {
		for key := range m {
			if !seen[key] {
				seen[key] = true
				out = append(out, key)
			}
		}
	}
	sort.Strings(out)
	return out
}
