// Package reducer makes all decisions of a node: configuration, membership, calls, limits, retries and shutdown.
//
// Reduce applies one event to the state and returns the resulting effects as data. It is deterministic: the event
// carries the time and a random number. Reduce does no I/O, starts no goroutine, takes no lock and does not depend on
// an encoding. A State must be used by one goroutine only. The program that embeds the package carries out the effects
// and reports their results as events.
package reducer
