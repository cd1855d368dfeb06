package reducer

import (
	"fmt"
	"testing"
	"time"
)

// newTestZones returns an ingress in zone z. Its upstreams u0 and u1 are in the same zone, u2 in a neighbouring zone
// and u3 in another region.
func newTestZones(t *testing.T) *testIngress {
	d := newTestIngress(t)
	for i, zone := range []string{"z", "z", "next", "far"} {
		m := d.state.members.table[testNode(i)]
		m.Zone, m.Sequence = zone, 2
		d.reduce(PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}})
	}
	return d
}

// testRoundTrip is the round-trip time to the other region.
const testRoundTrip = 30 * time.Millisecond

// answerAfter answers an attempt after passed; took is the time that the target reports for the call.
func (d *testIngress) answerAfter(f *Forward, passed, took time.Duration) {
	d.now += passed
	d.answer(f, ForwardDone{Outcome: OutcomeDone, Status: 200, Load: LoadReport{Slots: 4}, Took: took})
}

// spill sends calls while the upstreams of the node's zone report a queue wait, and returns how many calls went to the
// other region. took returns the time that a target reports for a call.
func (d *testIngress) spill(calls int, wait time.Duration, took func(target NodeID) time.Duration) int {
	far := 0
	for range calls {
		d.reportAll(wait)
		for _, free := range []NodeID{testNode(2), testNode(3)} {
			d.state.loadOf(free).report = LoadReport{Slots: 4}
		}
		f, _ := d.call(CallArrived{RetriesLeft: -1})
		passed := 12 * time.Millisecond
		if f.To.Node == testNode(3) {
			far++
			passed = 10*time.Millisecond + testRoundTrip
		}
		d.answerAfter(f, passed, took(f.To.Node))
	}
	return far
}

// tookTenMillis reports 10 ms for every target.
func tookTenMillis(NodeID) time.Duration { return 10 * time.Millisecond }

// Guards against a node that spills to another region as readily as to a neighbouring zone. Once the distance of the
// region is known, no call is sent there while the neighbouring zone has free slots.
func TestOtherRegionIsPassedOverWhileTheNextZoneIsFree(t *testing.T) {
	d := newTestZones(t)
	d.spill(100, 100*time.Millisecond, tookTenMillis)
	if far := d.spill(200, 100*time.Millisecond, tookTenMillis); far != 0 {
		t.Errorf("%d of 200 calls went to the other region", far)
	}
}

// Guards against calls that wait in the node's zone although the wait exceeds the round trip to another region and no
// nearer zone serves, and against calls that are sent there when the wait is shorter.
func TestSpillToAnotherRegionNeedsALongerWait(t *testing.T) {
	d := newTestZones(t)
	m := d.state.members.table[testNode(2)]
	m.Upstream.State, m.Sequence = UpstreamDown, 3
	d.reduce(PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}})
	d.spill(10, testRoundTrip+time.Millisecond, tookTenMillis)
	if far := d.spill(100, testRoundTrip+time.Millisecond, tookTenMillis); far != 100 {
		t.Errorf("%d of 100 calls left a zone whose wait is longer than the round trip", far)
	}
	if far := d.spill(100, testRoundTrip/3, tookTenMillis); far != 0 {
		t.Errorf("%d of 100 calls left a zone whose wait is a third of the round trip", far)
	}
}

// Guards against a wrong distance to nodes of older versions, which do not report the time of a call: they count as being
// in a neighbouring zone.
func TestOlderNodesCountAsNeighbouringZone(t *testing.T) {
	d := newTestZones(t)
	d.spill(100, 100*time.Millisecond, func(NodeID) time.Duration { return 0 })
	for _, zone := range []string{"next", "far"} {
		if got := d.state.distanceOf(zone); got != minDistance {
			t.Errorf("distance to zone %s is %v, expected %v", zone, got, minDistance)
		}
	}
}

// Guards against a minority of targets that report wrong times and so move the distance of their zone. A third of the
// reports give the duration of the attempt, more than that, or next to nothing; the distance must stay within a tenth of
// the true one.
func TestFewMisleadingReportsDoNotMoveADistance(t *testing.T) {
	for _, reported := range []time.Duration{10*time.Millisecond + testRoundTrip, time.Hour, 1} {
		t.Run(fmt.Sprint(reported), func(t *testing.T) {
			d := newTestZones(t)
			call := &ingressCall{target: PeerRef{Node: testNode(3)}}
			for i := range 300 {
				call.sentAt = d.state.now - 10*time.Millisecond - testRoundTrip
				took := 10 * time.Millisecond
				if i%3 == 0 {
					took = reported
				}
				d.state.observeDistance(call, took)
			}
			if got := d.state.distanceOf("far"); got < testRoundTrip*9/10 || got > testRoundTrip*11/10 {
				t.Errorf("distance is %v, expected about %v", got, testRoundTrip)
			}
		})
	}
}

// Guards against responses from another region that arrive after the deadline, and against a wrongly observed distance
// that leaves a call no time: the distance takes at most half of the time left.
func TestTimeLeftAllowsForTheDistance(t *testing.T) {
	d := newTestZones(t)
	for _, c := range []struct{ distance, left, least, most time.Duration }{
		{testRoundTrip, time.Second, time.Second / 2, time.Second - testRoundTrip},
		{maxDistance, 100 * time.Millisecond, 48 * time.Millisecond, 100 * time.Millisecond},
	} {
		d.state.members.distances["far"] = zoneDistance{time: c.distance, observedAt: d.state.now}
		far := d.state.members.table[testNode(3)]
		if got := d.state.timeLeftAt(far, &ingressCall{deadline: d.state.now + c.left}); got < c.least || got > c.most {
			t.Errorf("at a distance of %v a call with %v left may take %v, expected %v to %v", c.distance, c.left, got, c.least, c.most)
		}
	}
}
