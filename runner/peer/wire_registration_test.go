package peer

import (
	"reflect"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

// Guards against a question or an answer between nodes that is lost on the wire because it has no fields.
func TestQuestionsBetweenNodesOnTheWire(t *testing.T) {
	records := []deregistration.Record{{Instance: "a", At: 17}, {Instance: "b", At: 1 << 50}}
	for _, message := range []reducer.Message{
		reducer.HoldDeregistrations{Records: records}, reducer.HoldDeregistrations{},
		reducer.DeregistrationsHeld{Records: records}, reducer.DeregistrationsHeld{},
		reducer.ReadForPeer{}, reducer.ReadsForPeer{}, reducer.ReadsForPeer{Served: true},
	} {
		if got, err := wireControl(message).toMessage(); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("%+v became %+v, %v", message, got, err)
		}
	}
	odd := Deregistrations{Instances: []string{"a", "b"}, At: []int64{1}}
	if got := odd.toRecords(); len(got) != 1 {
		t.Errorf("lists of different length became %+v", got)
	}
}
