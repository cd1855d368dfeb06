package faultmatrix

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
)

// listRows returns the first cell of each row in the table under a heading of docs/FAULTS.md. Empty cells are errors.
func listRows(t *testing.T, page, heading string) []string {
	t.Helper()
	_, section, found := strings.Cut(page, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("docs/FAULTS.md has no section %q", heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var cells []string
	for _, line := range strings.Split(section, "\n") {
		cell := strings.Split(line, "|")
		if len(cell) < 4 || strings.Trim(line, "|- ") == "" {
			continue
		}
		if slices.ContainsFunc(cell[1:len(cell)-1], func(c string) bool { return strings.TrimSpace(c) == "" }) {
			t.Errorf("docs/FAULTS.md: empty cell in %q", line)
		}
		cells = append(cells, strings.TrimSpace(cell[1]))
	}
	return cells[1:] // without the header row
}

// Guards against faults, scenarios and invariants that docs/FAULTS.md does not list, and against rows for those that no
// longer exist.
func TestPageListsTheMatrix(t *testing.T) {
	text, err := os.ReadFile("../../docs/FAULTS.md")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][]string{"Invariants": append(invariant.Names(), pump.SlotLimit)}
	for _, fault := range Faults() {
		want["Faults"] = append(want["Faults"], fault.Name)
	}
	for _, scenario := range Scenarios() {
		want["Scenarios"] = append(want["Scenarios"], scenario.Name)
	}
	for heading, names := range want {
		got := listRows(t, string(text), heading)
		for _, name := range names {
			if !slices.Contains(got, name) {
				t.Errorf("%s: no row for %q", heading, name)
			}
		}
		for _, name := range got {
			if !slices.Contains(names, name) {
				t.Errorf("%s: row %q matches no name in the code", heading, name)
			}
		}
	}
}
