package reducer

import "github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"

// RolloutUpdates carries the states of roll-outs. The receiver relays those that are newer than its own.
type RolloutUpdates struct {
	Updates []rollout.Update
	// Complete is set in the answer to a RolloutFetch of a node that knows the states of all roll-outs.
	Complete bool
}

// RolloutReport tells the decider of a roll-out what a node has applied and observed.
type RolloutReport struct{ Report rollout.Report }

// RolloutFetch requests the states of all roll-outs.
type RolloutFetch struct{}

func (RolloutUpdates) message() {}
func (RolloutReport) message()  {}
func (RolloutFetch) message()   {}
