package peer

import "github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"

// Deregistrations is reducer.HoldDeregistrations or reducer.DeregistrationsHeld on the wire. The two lists have the
// same length: gob leaves out a pointer to a struct whose fields are all zero, and Any marks a message without
// records.
type Deregistrations struct {
	Any       bool
	Instances []string
	At        []int64 // Unix milliseconds, as in deregistration.Record
}

func wireDeregistrations(records []deregistration.Record) *Deregistrations {
	out := &Deregistrations{Any: true}
	for _, r := range records {
		out.Instances, out.At = append(out.Instances, r.Instance), append(out.At, r.At)
	}
	return out
}

// toRecords returns the records. Those of a faulty peer that lack a field are left out.
func (d *Deregistrations) toRecords() []deregistration.Record {
	var records []deregistration.Record
	for i := range min(len(d.Instances), len(d.At)) {
		records = append(records, deregistration.Record{Instance: d.Instances[i], At: d.At[i]})
	}
	return records
}
