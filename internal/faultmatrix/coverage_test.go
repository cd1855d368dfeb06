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

// notSteps are the inputs at which no fault can be put, with the reason.
var notSteps = map[string]string{
	"SettingsChanged": "replaces figures; no step of a call or of a change of the tables waits for it",
	"StatusRequested": "reads the state and changes nothing",
}

// declared returns the types of the reducer that have a marker method, such as input or effect.
func declared(t *testing.T, marker string) []string {
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

// Guards against a new input of the reducer that no scenario of the matrix reaches, so that no fault is
// ever put there. The pump panics on a new effect that it does not know.
func TestEveryInputIsAStep(t *testing.T) {
	seen := map[string]bool{}
	for _, scenario := range append(Scenarios(), Scenario{Name: "everything", Act: everything, Length: everythingLength}) {
		w := prepare(matrixSeed, scenario)
		w.OnStep = func(_ int, _ *pump.Node, input reducer.Input) { seen[reflect.TypeOf(input).Name()] = true }
		scenario.Act(w)
		w.Run(w.Now + scenario.Length)
	}
	for _, name := range declared(t, "input") {
		if !seen[name] && notSteps[name] == "" {
			t.Errorf("input %s is a step of no scenario; add one or give the reason in notSteps", name)
		}
	}
	if len(seen) == 0 || !strings.Contains(strings.Join(declared(t, "input"), " "), "CallArrived") {
		t.Error("the reducer's inputs were not found")
	}
}
