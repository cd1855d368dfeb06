package faultmatrix

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// inputsWithoutStep lists the inputs at which no fault is injected, with the reason.
var inputsWithoutStep = map[string]string{
	"DeregistrationsListed": "comes every 10 min and removes records that concern nobody; TestRecordsAreRemovedAfterTheRetention",
	"SettingsChanged":       "replaces limits; no step of a call or of a change of the tables waits for it",
	"StatusRequested":       "reads the state and changes nothing",
}

// typesWithMethod returns the sorted names of the types in package reducer that have the given marker method, such as
// input or effect.
func typesWithMethod(t *testing.T, marker string) []string {
	t.Helper()
	paths, err := filepath.Glob("../../reducer/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			method, ok := decl.(*ast.FuncDecl)
			if ok && method.Recv != nil && method.Name.Name == marker {
				names = append(names, method.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
	}
	sort.Strings(names)
	return names
}

// Guards against a new input of the reducer that no scenario reaches, so that no fault is ever injected there. The pump
// panics on an effect that it does not handle.
func TestEveryInputIsAStep(t *testing.T) {
	seen := map[string]bool{}
	see := func(input reducer.Input) {
		seen[reflect.TypeOf(input).Name()] = true
		if answered, ok := input.(reducer.StoreAnswered); ok {
			seen[reflect.TypeOf(answered.Answer).Name()] = true
		}
	}
	for _, scenario := range append(Scenarios(), Scenario{Name: "everything", Begin: beginAllScenarios, Length: allScenariosLength}) {
		w := newWorld(matrixSeed, scenario)
		w.OnStep = func(_ int, _ *pump.Node, input reducer.Input) { see(input) }
		scenario.Begin(w)
		w.Run(w.Now + scenario.Length)
	}
	RolloutRun{Seed: matrixSeed, Kind: "good"}.run(func(_ *pump.World, input reducer.Input) { see(input) })
	for _, name := range typesWithMethod(t, "input") {
		if !seen[name] && inputsWithoutStep[name] == "" {
			t.Errorf("input %s is a step of no scenario; add one or give the reason in inputsWithoutStep", name)
		}
	}
	if len(seen) == 0 || !strings.Contains(strings.Join(typesWithMethod(t, "input"), " "), "CallArrived") {
		t.Error("the reducer's inputs were not found")
	}
}
