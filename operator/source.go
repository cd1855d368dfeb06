package operator

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Names of the files that hold the tables in a directory.
const (
	RoutesFile = "routes.ini"
	PoolsFile  = "pools.ini"
)

// currentSource is the source that stands for the current version in the store.
const currentSource = "current"

// ReadTables returns the texts of both tables, read from files.
func ReadTables(routesFile, poolsFile string) (routes, pools string, err error) {
	first, err := os.ReadFile(routesFile)
	if err != nil {
		return "", "", oops.In("operator").Wrapf(err, "table of routes cannot be read, expected a file in INI format")
	}
	second, err := os.ReadFile(poolsFile)
	if err != nil {
		return "", "", oops.In("operator").Wrapf(err, "table of pools cannot be read, expected a file in INI format")
	}
	return string(first), string(second), nil
}

// LoadTables returns the tables that a source names: a version number, "current", a directory with routes.ini and
// pools.ini, or two files separated by a comma. A document that is read from files has no version.
func (r *Runner) LoadTables(ctx context.Context, source string) (tables.Document, error) {
	if version, err := strconv.ParseUint(source, 10, 64); err == nil {
		return r.FetchVersion(ctx, version)
	}
	if source == currentSource {
		return r.FetchCurrent(ctx)
	}
	routesFile, poolsFile, two := strings.Cut(source, ",")
	if !two {
		routesFile, poolsFile = filepath.Join(source, RoutesFile), filepath.Join(source, PoolsFile)
	}
	routes, pools, err := ReadTables(routesFile, poolsFile)
	return tables.Document{Routes: routes, Pools: pools}, err
}

// NeedsStore reports whether a source names a version in the store.
func NeedsStore(source string) bool {
	_, err := strconv.ParseUint(source, 10, 64)
	return err == nil || source == currentSource
}
