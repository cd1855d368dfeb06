package peer

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/nested"
)

// Guards against what targets have learned of nested calls and workspaces being lost on the way, and against a node of the
// earlier version that cannot read a report with it.
func TestLoadReportsCarryWhatTargetsLearned(t *testing.T) {
	want := reducer.LoadReport{
		Slots: 6, Running: 3, NestedWait: 20 * time.Millisecond, NestedServiceTime: 30 * time.Millisecond, RouteNested: nested.Nested,
		WorkspaceWait: 400 * time.Millisecond, Withheld: 35,
	}
	var sent bytes.Buffer
	if err := gob.NewEncoder(&sent).Encode(wireLoad(want)); err != nil {
		t.Fatal(err)
	}
	encoded := sent.Bytes()
	var received Load
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&received); err != nil || received.toLoadReport() != want {
		t.Errorf("the report is %+v after it was sent, expected %+v, %v", received.toLoadReport(), want, err)
	}
	var earlier struct {
		Service              uint32
		Slots, Running       int
		Wait, LateWait, Time []uint32
	}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&earlier); err != nil || earlier.Slots != 6 || earlier.Running != 3 {
		t.Errorf("the earlier version reads %+v, %v", earlier, err)
	}
}
