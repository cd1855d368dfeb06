package reducer

import (
	"testing"
	"time"
)

// pauseDuration is a pause of the process, longer than all permissions of these tests.
const pauseDuration = 10 * time.Second

// Guards against a process that was paused and, with the first event after it, acts on a permission that has ended meanwhile:
// a slot, a registration, or a cancellation that no longer counts.
func TestTargetThatWasPausedActsOnNothingThatEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(d *testTarget)
		event  func(d *testTarget) string
		want   string
	}{
		{
			"the deadline of a queued call, when a slot becomes free",
			func(d *testTarget) {
				d.forward("a", map[string]string{"left": "60000"})
				d.forward("b", map[string]string{"left": "500"})
			},
			func(d *testTarget) string {
				return d.reduce(BackendRequestDone{Call: d.calls["a"], Result: BackendAnswered, Status: 200})
			},
			"answer b not_run deadline\nanswer a done none\n",
		},
		{
			"the registration of the backend server, when a call arrives",
			func(*testTarget) {},
			func(d *testTarget) string { return d.forward("a", map[string]string{"left": "1000"}) },
			"answer a not_run no_upstream\n",
		},
		{
			"the registration of the backend server, when a slot becomes free",
			func(d *testTarget) {
				d.forward("a", map[string]string{"left": "60000"})
				d.forward("b", map[string]string{"left": "60000"})
			},
			func(d *testTarget) string {
				return d.reduce(BackendRequestDone{Call: d.calls["a"], Result: BackendAnswered, Status: 200})
			},
			"answer b not_run draining\nanswer a done none\n",
		},
		{
			"the deadline of a running call, when its response arrives",
			func(d *testTarget) { d.forward("a", map[string]string{"left": "500"}) },
			func(d *testTarget) string {
				return d.reduce(BackendRequestDone{Call: d.calls["a"], Result: BackendAnswered, Status: 200})
			},
			"answer a unknown deadline\nabort a\n",
		},
	} {
		d := newTestTarget(t, map[string]string{"slots": "1", "ramp": "0s"})
		c.before(d)
		d.now += pauseDuration
		if got := c.event(d); got != c.want {
			t.Errorf("%s: %q, expected %q", c.name, got, c.want)
		}
	}
}
