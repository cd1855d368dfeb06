// Package deregistration holds what the nodes know of backend servers that have deregistered. It keeps one promise:
// once a deregistration is acknowledged, none of the incarnations that it applies to is used again, whatever happens
// to the process that acknowledged it. Ledger is the side of the node beside the backend server, Keeper that of the
// nodes that hold records for others while the platform's store does not answer, and Inquiry what a restarted node
// asks before it uses an incarnation that is older than its process. All are pure: times come in, decisions come out.
package deregistration

// Record says that the incarnations of an instance that started up to a time have deregistered. A backend server may
// start again under its instance, so that the instance alone names no incarnation.
type Record struct {
	Instance string
	At       int64 // in Unix milliseconds: the start of the incarnation or, when it is not named, the arrival
}

// Covers reports whether r applies to all incarnations that other applies to.
func (r Record) Covers(other Record) bool {
	return r.Instance == other.Instance && r.At >= other.At
}
