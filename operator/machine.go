package operator

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
)

// Machine makes the decisions of a command. Reduce turns an event into effects. It does no I/O and reads no clock.
type Machine interface {
	Reduce(Event) []Effect
}

// Event is an input of a machine. The runner delivers it.
type Event interface{ isEvent() }

// Effect is an action that a machine asks the runner to perform. Each effect except Finish leads to one event.
type Effect interface{ isEffect() }

// Started is the first event that a machine receives.
type Started struct{}

// KeyRead is the result of ReadKey.
type KeyRead struct {
	Entry platform.Entry
	Err   error
}

// Swapped is the result of Swap.
type Swapped struct {
	Outcome platform.WriteOutcome
	Entry   platform.Entry // the entry written when applied, the entry found when not applied
	Err     error          // cause of any other outcome
}

// NodesQueried is the result of QueryNodes.
type NodesQueried struct {
	Answers []NodeAnswer
	Elapsed time.Duration // since the command started
}

// Paused is the result of Pause.
type Paused struct {
	Elapsed     time.Duration // since the command started
	Interrupted bool          // the operator interrupted the command
}

// ReadKey reads a key from the store.
type ReadKey struct{ Key string }

// Swap writes a value to a key of the store if the key still has the given revision (compare-and-swap).
// Revision 0 means that the key must not exist.
type Swap struct {
	Key      string
	Revision uint64
	Value    []byte
}

// QueryNodes reads the status of the nodes at the operator addresses, and with Discover also of the live members that
// they report.
type QueryNodes struct {
	Addresses []string
	Discover  bool
}

// Pause waits for a duration, or until the operator interrupts the command.
type Pause struct{ Duration time.Duration }

// Finish ends the command with a result.
type Finish struct{ Result Result }

func (Started) isEvent()      {}
func (KeyRead) isEvent()      {}
func (Swapped) isEvent()      {}
func (NodesQueried) isEvent() {}
func (Paused) isEvent()       {}

func (ReadKey) isEffect()    {}
func (Swap) isEffect()       {}
func (QueryNodes) isEffect() {}
func (Pause) isEffect()      {}
func (Finish) isEffect()     {}
