package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
)

// tool runs the program against a platform stand-in whose store is empty at first.
type tool struct {
	t        *testing.T
	platform string
	dir      string
}

func newTool(t *testing.T) *tool {
	server := httptest.NewServer(standin.New())
	t.Cleanup(server.Close)
	tool := &tool{t: t, platform: server.Listener.Addr().String(), dir: t.TempDir()}
	tool.writeFile("routes.ini", "[route dues]\npath = /dues\npool = stitchroom\npriority = 0\n")
	tool.writeFile("pools.ini", "[pool stitchroom]\nservice = stitchroom\n")
	return tool
}

func (c *tool) path(name string) string { return filepath.Join(c.dir, name) }

func (c *tool) writeFile(name, text string) {
	c.t.Helper()
	if err := os.WriteFile(c.path(name), []byte(text), 0o700); err != nil {
		c.t.Fatal(err)
	}
}

// run runs the program and checks its exit code and that its output contains wantOutput.
func (c *tool) run(wantCode int, wantOutput string, args ...string) {
	c.t.Helper()
	var out bytes.Buffer
	args = append([]string{"--platform", c.platform, "--author", "ada"}, args...)
	if got := run(context.Background(), args, &out, &out); got != wantCode || !strings.Contains(out.String(), wantOutput) {
		c.t.Errorf("%v: exit code %d, expected %d; output %q, expected it to contain %q", args, got, wantCode, out.String(), wantOutput)
	}
}

// Guards against exit codes that differ from the documented ones, which scripts depend on, and against commands that
// are not dispatched.
func TestCommandsReturnDocumentedExitCodes(t *testing.T) {
	c := newTool(t)
	routes, pools := c.path("routes.ini"), c.path("pools.ini")
	c.run(1, "no version", "get")
	c.run(2, "--expect", "apply", routes, pools)
	c.run(2, "expected IP:port", "status", "--node", "localhost:1")
	c.run(2, "--node is missing", "wait", "1")
	c.run(0, "version 1 was written", "apply", routes, pools, "--expect", "0")
	c.run(3, `"outcome": "conflict"`, "--output", "json", "apply", routes, pools, "--expect", "0")
	c.writeFile("bad.ini", "[route dues]\npriority = 9\n")
	c.run(2, "bad.ini: [route dues] priority: is \"9\", expected", "validate", c.path("bad.ini"), pools)
	c.run(5, "127.0.0.1:1", "wait", "1", "--node", "127.0.0.1:1", "--timeout", "1ms")
	c.run(1, "history/9", "get", "--version", "9")
	c.run(0, "version 2 was written", "rollback", "1")
	c.run(0, "[route dues]", "get", "--version", "1")
	c.run(0, "no difference", "diff", "1", routes+","+pools)
	c.run(0, "ada", "history")
	c.run(0, "complete", "completion", "bash")
	c.run(0, "compadd", "completion", "zsh")
	c.run(0, "--completion-bash", "completion", "fish")
}

// Guards against an edit that loses the edited tables, which must be kept if they cannot be applied.
func TestEditAppliesTablesOrKeepsThemAfterFailure(t *testing.T) {
	c := newTool(t)
	c.run(0, "version 1", "apply", c.path("routes.ini"), c.path("pools.ini"), "--expect", "0")
	c.writeFile("editor", "#!/bin/sh\nprintf '[route dues]\\npool = stitchroom\\npriority = 2\\n' > \"$1\"\n")
	c.run(0, "version 2 was written", "edit", "--editor", c.path("editor"))
	c.run(0, `priority: "0" -> "2"`, "diff", "1", "2")
	c.run(0, "not changed", "edit", "--editor", "true")
	t.Setenv("TMPDIR", t.TempDir())
	c.writeFile("broken", "#!/bin/sh\nprintf 'priority = 2\\n' > \"$1\"\n")
	c.run(2, "the edited tables are kept in", "edit", "--editor", c.path("broken"))
	c.run(1, "EDITOR is not set", "edit", "--editor", " ")
}

// Guards against an edit that overwrites a version written by another operator while the editor was open.
func TestEditConflictsWithConcurrentVersion(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	c := newTool(t)
	c.run(0, "version 1", "apply", c.path("routes.ini"), c.path("pools.ini"), "--expect", "0")
	c.writeFile("editor", "#!/bin/sh\necho '# edited' >> \"$1\"\ntouch '"+c.path("opened")+"'\n"+
		"until test -e '"+c.path("close")+"'; do sleep 0.01; done\n")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(3, "the store has version 2", "edit", "--editor", c.path("editor"))
	}()
	for _, err := os.Stat(c.path("opened")); err != nil; _, err = os.Stat(c.path("opened")) {
		time.Sleep(time.Millisecond) // bounded by the timeout of go test
	}
	c.run(0, "version 2 was written", "rollback", "1")
	c.writeFile("close", "")
	<-ended
}

// Guards against tables of the platform's operator that are overwritten or not found.
func TestHostedTablesAreShownButNotWritten(t *testing.T) {
	stand := standin.New()
	server := httptest.NewServer(stand)
	defer server.Close()
	c := newTool(t)
	c.platform = server.Listener.Addr().String()
	stand.OperatorPut(hosted.KeyConfig, []byte(`{"version":"0000000a","services":[{"name":"desk","max-connections":9}],"virtual-hosts":[{"host":"h.example",
"paths":[{"name":"r-1","prefix":"/a/","kind":"idempotent","timeout-ms":800,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2}]}]}`))
	c.run(0, "target_latency = 300ms", "--mode", "hosted", "get")
	c.run(0, "service = desk", "--mode", "hosted", "get")
	c.run(0, "10", "--mode", "hosted", "history")
	const owned = "owned by the platform's operator"
	c.run(1, owned, "--mode", "hosted", "apply", c.path("routes.ini"), c.path("pools.ini"), "--expect", "10")
	c.run(1, owned, "--mode", "hosted", "rollback", "3")
	c.run(1, "no version", "get")
}
