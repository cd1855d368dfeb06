package operator

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Known keys of the tables, for messages about unknown keys.
const (
	routeKeys     = "host, path, methods, pool, priority, idempotent, timeout, retries, key_retention, max_body_bytes, split, target_latency, streaming, upload, public"
	workspaceKeys = "keys, priority, rate, burst"
	poolKeys      = "service, queue_limit, ramp, balance, max_connections, min_share.0 to min_share.7"
)

// CheckTables checks new tables and returns one line per fault, with file, section, key and what was expected. It is
// stricter than the nodes: it also rejects entries that nodes accept but that cannot be intended.
func CheckTables(routes, pools, routesFile, poolsFile string) []string {
	lines := checkAsNode(routes, pools, routesFile, poolsFile)
	lines = append(lines, lintTable(routesFile, routes)...)
	return append(lines, lintTable(poolsFile, pools)...)
}

// lintTable returns the faults of a table that nodes accept: a key that is set twice, of which only the last value
// would be used, and a host or path that no request can match. Nodes accept them because such a version may already be
// active, and a node of a later release must not reject a version that other nodes serve.
func lintTable(file, text string) []string {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true, AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
	}, []byte(text))
	if err != nil {
		return nil // checkAsNode reports it
	}
	var lines []string
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			if problem := lintKey(key); problem != "" {
				lines = append(lines, fmt.Sprintf("%s: [%s] %s: %s", file, section.Name(), key.Name(), problem))
			}
		}
	}
	return lines
}

// lintKey returns the problem of a key that nodes accept, or "".
func lintKey(key *ini.Key) string {
	value := key.Value()
	_, _, err := net.SplitHostPort(value)
	switch {
	case len(key.ValueWithShadows()) > 1:
		return "is set twice, expected each key once"
	case key.Name() == "unsupported":
		return fmt.Sprintf("says %q, so nodes would refuse all requests of the route", value)
	case key.Name() == "host" && err == nil:
		return fmt.Sprintf("is %q, expected a host without port", value)
	case key.Name() == "path" && strings.ContainsAny(value, "?#"):
		return fmt.Sprintf("is %q, expected a path without query", value)
	}
	return ""
}

// checkAsNode applies the check of the nodes to both tables and returns one line per fault.
func checkAsNode(routes, pools, routesFile, poolsFile string) []string {
	document := tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
	_, err := tables.Check(document)
	if err == nil {
		return nil
	}
	var check *tables.CheckError
	if !errors.As(err, &check) {
		return []string{err.Error()}
	}
	lines := make([]string, len(check.Faults))
	for i, fault := range check.Faults {
		lines[i] = formatFault(fault, routesFile, poolsFile)
	}
	return lines
}

func formatFault(fault tables.Fault, routesFile, poolsFile string) string {
	location := map[string]string{"routes": routesFile, "pools": poolsFile}[fault.Table]
	if location == "" {
		location = routesFile + " and " + poolsFile
	}
	if fault.Section != "" {
		location += ": [" + fault.Section + "]"
	}
	if fault.Key != "" {
		location += " " + fault.Key
	}
	problem := strings.TrimSpace(fault.Problem) // errors of the parser end with a line break
	return location + ": " + problem + describeExpectation(fault)
}

// describeExpectation returns the text about what was expected that follows the problem of a fault, or "" when the
// problem already states it. It matches the problem texts of tables.Fault.
func describeExpectation(fault tables.Fault) string {
	if strings.Contains(fault.Problem, "expected") || strings.Contains(fault.Problem, "allowed") {
		return ""
	}
	switch {
	case fault.Problem == "is missing" && fault.Key == "pool":
		return ", expected the name of a pool of the other table"
	case fault.Problem == "is missing":
		return ", expected a name"
	case fault.Problem == "is not a known key" && fault.Table == "pools":
		return ", expected one of " + poolKeys
	case fault.Problem == "is not a known key" && strings.HasPrefix(fault.Section, "workspace "):
		return ", expected one of " + workspaceKeys
	case fault.Problem == "is not a known key":
		return ", expected one of " + routeKeys
	case fault.Key == "pool":
		return ", expected the name of one of its pools"
	case fault.Key == "service":
		return ", expected a service that no other pool uses"
	case fault.Key == "path":
		return ", expected another host, path or method"
	case fault.Section == "" && fault.Key != "":
		return ", expected a section header before it"
	case fault.Section != "":
		return ", expected each section once"
	default:
		return ", expected sections with lines of the form KEY = VALUE"
	}
}

func joinLines(lines []string) string { return strings.Join(lines, "\n") }
