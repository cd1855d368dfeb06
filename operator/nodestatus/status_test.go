package nodestatus

import (
	"reflect"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Guards against a reason for rejecting versions that is missing from the REFUSED column of the status output.
func TestTotalCountsEveryKindOfRefusal(t *testing.T) {
	var status reducer.Status
	refusals := reflect.ValueOf(&status.Refusals).Elem()
	for i := range refusals.NumField() {
		refusals.Field(i).SetUint(1)
	}
	if got := New(status).Rejected.Total(); got != uint64(refusals.NumField()) {
		t.Errorf("%d refusals are counted, expected %d", got, refusals.NumField())
	}
}
