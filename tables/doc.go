// Package tables parses, checks and compares the two tables that operators edit: routes and pools.
//
// Both tables are versioned together. A Document holds their text as it is stored on the platform. Check
// turns a document into an immutable Snapshot, or reports all faults in it. Every pool that a route of a
// snapshot names is in that snapshot.
//
// Diff and Apply make and apply a Delta, the changes from one document to the next.
package tables
