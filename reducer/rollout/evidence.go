package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Thresholds of the comparison of two versions. TestProbabilityOfFalseVerdicts measures both errors.
const (
	// badScore is the excess of bad responses of the new version, in standard deviations, that condemns it, and minExcess
	// the same in responses: the normal approximation is poor for one or two. One comparison is wrong in 1 of 16,000 cases
	// (three failures, all in the 4 in 100 calls of the new version); a roll-out makes some tens, which are not independent.
	badScore  = 4.5
	minExcess = 3.2
	// doubtScore and doubtExcess keep a roll-out in its step.
	doubtScore  = 3
	doubtExcess = 1.5
	// minFailureEffect and minSlowEffect are the least differences of the shares of failures and of slow responses that
	// condemn. What remains of differences in speed and load between upstreams makes some responses slower.
	minFailureEffect = 0.02
	minSlowEffect    = 0.1
	// lateScore and lateEffect are the thresholds against the earlier responses of the old version, which are used when it
	// has few at the same time: what changed meanwhile may have another cause.
	lateScore  = 5.5
	lateEffect = 0.1
	// fewBeside is how many times as many responses the new version must have for that, and minBeside the least number of
	// responses of the old version for a comparison: one of each version says next to nothing.
	fewBeside = 2
	minBeside = 10
	// slowBuckets is the distance in buckets from the median of the old version at which a response is slow: at least
	// twice, at most 2.8 times the median.
	slowBuckets = 3
	// minJudgedCalls is the number of responses of the new version without which it is not called good while the old
	// version has calls.
	minJudgedCalls = 10
	// maxSlots bounds the time slots that are kept; minSlot is the shortest one.
	maxSlots = 64
	minSlot  = time.Second
)

// Verdict is the result of the comparison of the new version with the old one.
type Verdict uint8

// The verdicts.
const (
	Open     Verdict = iota // too few responses
	Good                    // no difference that counts
	Doubtful                // a difference that may be chance
	Bad
)

// Finding is a verdict with the figures behind it.
type Finding struct {
	Verdict            Verdict
	Route              string  // with the largest score; empty for all routes together
	Kind               string  // one of the kinds below
	Score              float64 // standard deviations of the excess
	Observed           float64 // bad responses of the new version; of kindSlower its latency in multiples of the old one
	Expected           float64 // if it were as the old one
	NewCalls, OldCalls int
}

// What a finding is about: the share of responses that failed, the share that took long in comparison with what is
// expected of the upstream, or a version whose responses all take longer than the speeds of upstreams explain.
const (
	kindFailures = "failures"
	kindSlow     = "slow"
	kindSlower   = "slower"
)

func (f Finding) String() string {
	switch {
	case f.Kind == kindSlower && f.Route != "":
		return fmt.Sprintf("latency of the new version on route %s: %.1f times what its other routes let expect", f.Route, f.Observed)
	case f.Kind == kindSlower:
		return fmt.Sprintf("latency of the new version: %.1f times that of the old one in %d responses", f.Observed, f.NewCalls)
	}
	return fmt.Sprintf("%s of the new version: %.0f of %d responses, %.1f expected", f.Kind, f.Observed, f.NewCalls, f.Expected)
}

// count holds the responses of one version.
type count struct {
	calls, failures int
	buckets         [LatencyBuckets]float64
}

func (c *count) add(r RouteCount) {
	c.calls += r.Calls
	c.failures += r.Failures
}

// addLatencies adds the latencies of a report, each by shift buckets shorter. Between two buckets they are divided.
func (c *count) addLatencies(r RouteCount, shift float64) {
	below, upper := int(math.Floor(shift)), shift-math.Floor(shift)
	for i, n := range r.Buckets {
		c.buckets[clampBucket(i-below)] += float64(n) * (1 - upper)
		c.buckets[clampBucket(i-below-1)] += float64(n) * upper
	}
}

func clampBucket(i int) int { return min(max(i, 0), LatencyBuckets-1) }

func (c *count) merge(other *count) {
	c.calls += other.calls
	c.failures += other.failures
	for i, n := range other.buckets {
		c.buckets[i] += n
	}
}

// timed returns the number of responses with a latency, and of those beyond a bucket.
func (c *count) timed(beyond int) (all, slow float64) {
	for i, n := range c.buckets {
		all += n
		if i >= beyond {
			slow += n
		}
	}
	return all, slow
}

// place is where and when responses were observed. Comparing within it keeps trouble of a zone or of a moment, which
// meets both versions, from condemning one that has a larger share there.
type place struct {
	route, zone string
	slot        int
}

// Evidence holds the responses of both versions of a service.
type Evidence struct {
	slot     time.Duration // length of a time slot
	since    time.Duration // start of the current slot
	current  int           // the current slot
	old, new map[place]*count

	upstreams  map[string]*profile   // by node
	references map[string]*reference // by route

	compared      Finding // the last result of compareSpeeds
	comparedCalls float64 // responses of the new version at that time
}

// NewEvidence returns the evidence of a roll-out of a duration from now on.
func NewEvidence(now, duration time.Duration) *Evidence {
	return &Evidence{slot: max(minSlot, duration/maxSlots), since: now, old: map[place]*count{}, new: map[place]*count{},
		upstreams: map[string]*profile{}, references: map[string]*reference{}}
}

// Add adds the report of the node beside an upstream of the new or the old version in a zone.
func (e *Evidence) Add(now time.Duration, node, zone string, isNew bool, r Report) {
	if now-e.since >= e.slot {
		e.BeginSlot(now)
	}
	upstream := e.upstreams[node]
	if upstream == nil || upstream.isNew != isNew {
		upstream = &profile{isNew: isNew, routes: map[string]*sample{}}
		e.upstreams[node] = upstream
	}
	upstream.observeLoad(now, r)
	counts := e.old
	if isNew {
		counts = e.new
	}
	for _, c := range r.Routes {
		at := place{c.Route, zone, e.current}
		if counts[at] == nil {
			counts[at] = &count{}
		}
		counts[at].add(c)
		if shift, known := e.observe(upstream, c); known {
			counts[at].addLatencies(c, shift)
		}
	}
}

// BeginSlot begins a time slot, as at each step: responses under one share are not compared with those under another.
func (e *Evidence) BeginSlot(now time.Duration) {
	e.since = now
	e.current++
	for _, ref := range e.references {
		ref.age()
	}
	e.forget(e.current - 2*maxSlots)
}

func (e *Evidence) forget(before int) {
	for _, counts := range []map[place]*count{e.old, e.new} {
		for at := range counts {
			if at.slot < before {
				delete(counts, at)
			}
		}
	}
}

// sortedPlaces returns the places in order, because sums of floating-point numbers depend on it.
func sortedPlaces(counts map[place]*count) []place {
	return slices.SortedFunc(maps.Keys(counts), func(a, b place) int {
		return cmp.Or(cmp.Compare(a.slot, b.slot), cmp.Compare(a.route, b.route), cmp.Compare(a.zone, b.zone))
	})
}

// calls returns the number of responses of both versions.
func (e *Evidence) calls() (newCalls, oldCalls int) {
	for _, c := range e.new {
		newCalls += c.calls
	}
	for _, c := range e.old {
		oldCalls += c.calls
	}
	return newCalls, oldCalls
}

// excess sums the bad responses of the new version over strata, with what is expected if both versions are the same, as
// the test of Cochran, Mantel and Haenszel does.
type excess struct{ observed, expected, variance, calls float64 }

func (x *excess) add(newBad, newAll, oldBad, oldAll float64) {
	n1, all, bad := newAll, newAll+oldAll, newBad+oldBad
	if newAll == 0 || oldAll == 0 || all <= 1 {
		return
	}
	x.calls += n1
	x.observed += newBad
	x.expected += n1 * bad / all
	x.variance += n1 * (all - n1) * bad * (all - bad) / (all * all * (all - 1))
}

func (x *excess) merge(other excess) {
	x.observed += other.observed
	x.expected += other.expected
	x.variance += other.variance
	x.calls += other.calls
}

// score returns the excess in standard deviations, with a correction for continuity.
func (x *excess) score() float64 {
	if x.variance <= 0 {
		return 0
	}
	return (x.observed - x.expected - 0.5) / math.Sqrt(x.variance)
}

// test is what is compared on one route, or on all: bad responses beside those of the old version at the same time, and
// beside its earlier ones.
type test struct{ failures, slow, lateFailures, lateSlow excess }

func (t *test) merge(other test) {
	t.failures.merge(other.failures)
	t.slow.merge(other.slow)
	t.lateFailures.merge(other.lateFailures)
	t.lateSlow.merge(other.lateSlow)
}

// Judge compares the versions on each route and on all routes together, and returns the finding with the worst verdict.
func (e *Evidence) Judge() Finding {
	totals := e.oldTotals()
	tests, all := map[string]*test{}, test{}
	for _, at := range sortedPlaces(e.new) {
		t := e.compare(at, e.new[at], totals)
		all.merge(t)
		if tests[at.route] == nil {
			tests[at.route] = &test{}
		}
		tests[at.route].merge(t)
	}
	worst := Finding{Verdict: Open}
	worst.NewCalls, worst.OldCalls = e.calls()
	if worst.NewCalls >= minJudgedCalls || worst.OldCalls == 0 {
		worst.Verdict = Good
	}
	upstreams := e.profiles(true)
	worst = worst.worseOf(all.find("")).worseOf(e.slower(e.profiles(false), upstreams))
	for _, route := range slices.Sorted(maps.Keys(tests)) {
		worst = worst.worseOf(tests[route].find(route)).worseOf(compareRoute(route, upstreams))
	}
	return worst
}

// worseOf returns f with the verdict and the figures of other if that is worse, or as bad with a higher score.
func (f Finding) worseOf(other Finding) Finding {
	if other.Verdict < Doubtful || other.Verdict < f.Verdict || other.Verdict == f.Verdict && other.Score <= f.Score {
		return f
	}
	other.NewCalls, other.OldCalls = f.NewCalls, f.OldCalls
	return other
}

// oldTotals returns all responses of the old version by route, in all zones and at all times.
func (e *Evidence) oldTotals() map[string]*count {
	totals := map[string]*count{}
	for at, c := range e.old {
		if totals[at.route] == nil {
			totals[at.route] = &count{}
		}
		totals[at.route].merge(c)
	}
	return totals
}

// compare compares the responses of the new version at a place with those of the old version there, or in all zones if
// they are few, and with its earlier ones if there are few.
func (e *Evidence) compare(at place, c *count, totals map[string]*count) test {
	total := totals[at.route]
	if total == nil {
		return test{}
	}
	beyond := medianBucket(total) + slowBuckets
	timed, slow := c.timed(beyond)
	var t test
	beside := e.old[at]
	if beside == nil || beside.calls < max(minBeside, fewBeside*c.calls) {
		beside = &count{}
		for other, o := range e.old {
			if other.route == at.route && other.slot == at.slot {
				beside.merge(o)
			}
		}
	}
	oldTimed, oldSlow := beside.timed(beyond)
	t.failures.add(float64(c.failures), float64(c.calls), float64(beside.failures), float64(beside.calls))
	t.slow.add(slow, timed, oldSlow, oldTimed)
	if fewBeside*beside.calls >= c.calls && beside.calls >= minBeside {
		return t
	}
	oldTimed, oldSlow = total.timed(beyond)
	t.lateFailures.add(float64(c.failures), float64(c.calls), float64(total.failures), float64(total.calls))
	t.lateSlow.add(slow, timed, oldSlow, oldTimed)
	return t
}

func medianBucket(c *count) int {
	all, _ := c.timed(0)
	seen := 0.0
	for i, n := range c.buckets {
		if seen += n; 2*seen >= all && seen > 0 {
			return i
		}
	}
	return LatencyBuckets
}

// find returns the worst finding of a test.
func (t *test) find(route string) Finding {
	var worst Finding
	for _, c := range []struct {
		kind          string
		x             *excess
		score, effect float64
	}{
		{kindFailures, &t.failures, badScore, minFailureEffect}, {kindSlow, &t.slow, badScore, minSlowEffect},
		{kindFailures, &t.lateFailures, lateScore, lateEffect}, {kindSlow, &t.lateSlow, lateScore, lateEffect},
	} {
		beyond := c.x.observed - c.x.expected
		found := Finding{Route: route, Kind: c.kind, Score: c.x.score(), Observed: c.x.observed, Expected: c.x.expected}
		switch {
		case found.Score >= c.score && beyond >= minExcess && beyond >= c.effect*c.x.calls:
			found.Verdict = Bad
		case found.Score >= doubtScore && beyond >= doubtExcess && beyond >= c.effect*c.x.calls:
			found.Verdict = Doubtful
		}
		if found.Verdict > worst.Verdict || found.Verdict == worst.Verdict && found.Score > worst.Score {
			worst = found
		}
	}
	return worst
}
