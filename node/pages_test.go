package node

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// findMatches returns the captured text of each match in the files of a glob pattern, without tests. No match is a
// test failure.
func findMatches(t *testing.T, files, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(files)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no file matches %s: %v", files, err)
	}
	var all []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(text), -1) {
			all = append(all, strings.Join(match[1:], ""))
		}
	}
	if len(all) == 0 {
		t.Errorf("nothing in %s matches %s", files, pattern)
	}
	return all
}

// Guards against log messages, metrics, reasons and configuration keys that are missing from the documentation.
func TestPagesDocumentMessagesMetricsReasonsAndKeys(t *testing.T) {
	namesByPage := map[string][]string{}
	for _, c := range []struct{ page, files, pattern string }{
		{"OPERATIONS.md", "*.go", `"msg", "([^"]+)"`},
		{"OPERATIONS.md", "../cmd/rosemaryhatch-node/*.go", `"msg", "([^"]+)"`},
		{"OPERATIONS.md", "../runner/peer/*.go", `"msg", "([^"]+)"`},
		{"OPERATIONS.md", "../runner/target/*.go", `"msg", "([^"]+)"`},
		{"OPERATIONS.md", "../reducer/*.go", `s\.log\(Level\w+, "([^"]+)"`},
		{"OPERATIONS.md", "../reducer/config*.go", `"(configuration refused[^"]*)"`},
		{"configuration.md", "../settings/*.go", `r\.\w+\("\w+", "(\w+)"`},
		{"configuration.md", "../tables/check.go", `s\.(?:text|integer|duration|boolean)\("(\w+)", `},
		{"configuration.md", "../tables/check.go", `s\.required\("(\w+)"\)`},
	} {
		namesByPage[c.page] = append(namesByPage[c.page], findMatches(t, c.files, c.pattern)...)
	}
	for reason := reducer.ReasonNone + 1; !strings.HasPrefix(reason.String(), "reason("); reason++ {
		namesByPage["protocol.md"] = append(namesByPage["protocol.md"], reason.String())
	}
	for page, names := range namesByPage {
		text := readPage(t, page)
		for _, name := range names {
			if !strings.Contains(text, "`"+name+"`") {
				t.Errorf("docs/%s does not name %q", page, name)
			}
		}
	}
	operations := readPage(t, "OPERATIONS.md")
	for _, name := range findMatches(t, "../runner/telemetry/*.go", `"(rosemaryhatch_\w+)"`) {
		if !strings.Contains(operations, "`"+name) { // no closing backquote, because labels may follow the name
			t.Errorf("docs/OPERATIONS.md does not name the metric %q", name)
		}
	}
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
