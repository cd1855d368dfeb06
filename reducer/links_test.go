package reducer

import (
	"testing"
	"time"
)

// newLinkIngress returns a testIngress with a link of 10 Mbit/s whose calls on the streaming route have responses of 100 KB.
func newLinkIngress(t *testing.T, mbps float64) *testIngress {
	d := newTestIngress(t)
	d.state.links = newLinkState(mbps)
	d.state.config.active = testSnapshot(t, "[route r]\npool = p\nidempotent = yes\nstreaming = yes\ntimeout = 1s\n", "[pool p]\nservice = s\nramp = 0s\n")
	d.state.links.out.Observe("r", 100_000, d.now)
	d.reportAll(0)
	return d
}

// Guards against downloads that are sent to an instance whose link is known to be full while another one's is not.
func TestDownloadsGoWhereTheLinkIsFree(t *testing.T) {
	d := newLinkIngress(t, 10)
	for i := range 3 {
		d.state.loadOf(testNode(i)).report.LinkBacklog = 900 * time.Millisecond
	}
	for range 3 {
		if f, reason := d.call(CallArrived{RetriesLeft: -1}); f == nil || f.To.Node != testNode(3) {
			t.Fatalf("attempt %+v, refusal %v, expected one at the free link", f, reason)
		}
	}
}

// Guards against a download that is sent although all links are full, against a Retry-After that is too early, and against
// refusals by reports that are too old or by a node that does not know its link.
func TestFullLinksRefuseEarly(t *testing.T) {
	for _, c := range []struct {
		mbps    float64
		age     time.Duration
		refused bool
	}{{10, 0, true}, {10, earlyReportMaxAge + 1, false}, {0, 0, false}} {
		d := newLinkIngress(t, c.mbps)
		refused := 0
		for range 10 {
			d.reportAll(0)
			for i := range 4 {
				d.state.loadOf(testNode(i)).report.LinkBacklog = 1100 * time.Millisecond
				d.state.loadOf(testNode(i)).reportedAt -= c.age
			}
			d.calls++
			for _, effect := range d.reduce(CallArrived{Call: d.calls, Path: "/", RetriesLeft: -1}) {
				if e, ok := effect.(FailCall); ok {
					refused++
					// The backlog and the response take 1.2 s of 1 s.
					if e.Outcome != OutcomeNotRun || e.RetryAfter < 150*time.Millisecond || e.RetryAfter > 250*time.Millisecond {
						t.Errorf("refused as %+v", e)
					}
				}
			}
		}
		if c.refused != (refused >= 7) || !c.refused && refused > 0 {
			t.Errorf("%+v: %d of 10 calls were refused", c, refused)
		}
	}
}

// Guards against responses that are admitted up to their deadlines, so that all on a full link are late, and against late ones
// that delay the others.
func TestLinkAdmitsUntilTheDueTime(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct{ due, deadline, want time.Duration }{
		{0, now + 5*time.Second, 5 * time.Second},
		{now + 1500*time.Millisecond, now + 5*time.Second, 1500 * time.Millisecond},
		{now + 1500*time.Millisecond, now + time.Second, time.Second},
		{now - time.Millisecond, now + 5*time.Second, lateLinkBacklog},
		{now - time.Millisecond, now + 100*time.Millisecond, 100 * time.Millisecond},
	} {
		if got := linkTimeLeft(now, c.due, c.deadline); got != c.want {
			t.Errorf("due %v, deadline %v: the link may take %v, expected %v", c.due, c.deadline, got, c.want)
		}
	}
}
