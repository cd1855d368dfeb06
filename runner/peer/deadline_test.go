package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against RPCs that end early, late or not at all because those before them have ended, and against a timer that runs
// without RPCs.
func TestTimeoutsEndAtTheirDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &timeouts{timeout: time.Second}
		begin := time.Now()
		var all []*timeoutContext
		for range 5 {
			all = append(all, ts.begin())
			time.Sleep(100 * time.Millisecond)
		}
		all[0].end()
		all[2].end()
		for i, c := range all {
			if i == 0 || i == 2 {
				continue
			}
			<-c.Done()
			want := time.Duration(i)*100*time.Millisecond + time.Second
			if after := time.Since(begin); after != want || c.Err() != context.DeadlineExceeded {
				t.Errorf("context %d ended after %v with %v, expected %v", i, after, c.Err(), want)
			}
			c.end()
		}
		if all[0].Err() != nil || all[2].Err() != nil {
			t.Error("a context that was released in time has ended")
		}
		time.Sleep(2 * time.Second)
		if ts.armed || len(ts.pending) != 0 {
			t.Errorf("%d contexts are pending, timer set: %v", len(ts.pending), ts.armed)
		}
		again := ts.begin()
		ts.close()
		if <-again.Done(); again.Err() != context.Canceled {
			t.Errorf("a context of a closed client ended with %v", again.Err())
		}
		again.end()
		if late := ts.begin(); late.Err() != context.Canceled {
			t.Errorf("a context that began after the end has error %v", late.Err())
		}
	})
}
