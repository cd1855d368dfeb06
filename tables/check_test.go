package tables

import "testing"

// Guards against the expansion of %(NAME)s references in values: a few lines of nested references could expand to more
// than the memory of all nodes.
func TestValuesAreNotExpanded(t *testing.T) {
	snapshot, err := Check(testDocument(1, "[route a]\npath = /%(pool)s\nhost = %(path)s\npool = p\n", "[pool p]\nservice = s\n"))
	if err != nil {
		t.Fatal(err)
	}
	if route := snapshot.Routes()[0]; route.Path != "/%(pool)s" || route.Host != "%(path)s" {
		t.Errorf("route has path %q and host %q, expected the raw text of the table", route.Path, route.Host)
	}
}
