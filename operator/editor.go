package operator

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// EditFiles writes both tables to a new temporary directory, runs the editor command on them and returns the edited
// texts. The directory is kept, also after an error, so that an edit that cannot be applied is not lost. The caller
// removes it.
func EditFiles(ctx context.Context, editor string, document tables.Document) (routes, pools, directory string, err error) {
	errBuilder := oops.In("operator")
	command := strings.Fields(editor)
	if len(command) == 0 {
		return "", "", "", errBuilder.Errorf("EDITOR is not set, expected the command of an editor")
	}
	directory, err = os.MkdirTemp("", "rosemaryhatch-edit-")
	if err != nil {
		return "", "", "", errBuilder.Wrapf(err, "directory for the tables cannot be made")
	}
	routesFile, poolsFile := filepath.Join(directory, RoutesFile), filepath.Join(directory, PoolsFile)
	for path, text := range map[string]string{routesFile: document.Routes, poolsFile: document.Pools} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", "", directory, errBuilder.Wrapf(err, "table cannot be written for the editor")
		}
	}
	run := exec.CommandContext(ctx, command[0], append(command[1:], routesFile, poolsFile)...)
	run.Stdin, run.Stdout, run.Stderr = os.Stdin, os.Stderr, os.Stderr // standard output is reserved for the result
	if err := run.Run(); err != nil {
		return "", "", directory, errBuilder.Wrapf(err, "editor %q failed", editor)
	}
	routes, pools, err = ReadTables(routesFile, poolsFile)
	return routes, pools, directory, err
}
