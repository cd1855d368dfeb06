package store

import (
	"context"
	"testing"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// Guards against a store that was restored from an older copy and is taken for the one before (review/12): each answer carries
// its era, and a watch from a revision that the copy lacks is told to read.
func TestAnswersCarryTheirEra(t *testing.T) {
	f := newFixture(t)
	answer := func(effect reducer.Effect) reducer.StoreAnswered {
		f.runner.Perform(effect)
		return (<-f.events).(reducer.StoreAnswered)
	}
	inject := func(kind standin.FaultKind) {
		if err := f.server.Inject(standin.Fault{Kind: kind}); err != nil {
			t.Fatal(err)
		}
	}
	if f.server.Inject(standin.Fault{Kind: standin.FaultRestore}) == nil {
		t.Error("the stand-in came back without a copy")
	}
	inject(standin.FaultCopy)
	f.perform(t, reducer.StoreDeregistration{Instance: "i-1", At: 1000, LeftAt: 5000})
	granted := answer(reducer.GrantLease{TTL: 60e9})
	before := answer(reducer.ReadStore{})
	if before.Era != 1 || before.Mixed || granted.Era != 1 {
		t.Errorf("answers before: %+v, %+v", before, granted)
	}
	inject(standin.FaultRestore)
	after := storeera.Revision{Era: 1, Number: before.Answer.(reducer.StoreRead).Revision}
	if gone := answer(reducer.WatchStore{After: after}); gone.Era != 2 || gone.Answer != (reducer.StoreRead{Result: reducer.StoreHistoryGone, Watch: true, After: after}) {
		t.Errorf("watch from a revision of before: %+v", gone)
	}
	if read := answer(reducer.ReadDeregistration{Instance: "i-1"}); read.Era != 2 || read.Answer.(reducer.DeregistrationRead).Result != reducer.StoreAbsent {
		t.Errorf("record that the copy lacks: %+v", read)
	}
	lease := granted.Answer.(reducer.LeaseGranted).Lease
	if renewed := answer(reducer.RenewLease{Lease: lease}).Answer; renewed != (reducer.LeaseRenewed{Result: reducer.StoreNoLease, Lease: lease}) {
		t.Errorf("lease that the copy lacks: %+v", renewed)
	}
	if again := answer(reducer.GrantLease{TTL: 60e9}).Answer.(reducer.LeaseGranted); again.Lease > lease {
		t.Errorf("lease %d is granted after %d, although the copy lacks it", again.Lease, lease)
	}
}

// Guards against a call of several steps whose answers are of two eras and that counts as one of the later era.
func TestCallAcrossErasIsMixed(t *testing.T) {
	result, ok := inEra(context.Background(), func(ctx context.Context) reducer.StoreAnswer {
		for _, era := range []uint64{1, 1, 2} {
			platform.ObserveEra(ctx, era)
		}
		return reducer.RolloutsRead{Result: reducer.StoreOK}
	})
	if !ok || !result.Mixed || result.Era != 2 {
		t.Errorf("result %+v (%v)", result, ok)
	}
}
