package reducer

import "github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"

// HoldDeregistrations asks the receiver to hold deregistrations of the backend server beside the sender, and to answer with
// all that it holds for the sender. A process that has started sends none, to learn those of the one before it.
type HoldDeregistrations struct{ Records []deregistration.Record }

// DeregistrationsHeld answers HoldDeregistrations.
type DeregistrationsHeld struct{ Records []deregistration.Record }

func (HoldDeregistrations) message() {}
func (DeregistrationsHeld) message() {}
