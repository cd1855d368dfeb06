package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Latencies are compared as bucket numbers, in which a factor of 2 is bucketsPerDouble. The offset of a response is its
// distance from the recent mean of the old version on its route.
const (
	bucketsPerDouble = 2
	// slowestSpeed and fastestSpeed bound the speed of an upstream, as a multiple of the mean.
	slowestSpeed = 0.5
	fastestSpeed = 1.7
	// calibrationCalls is the number of first responses from which the offset of an upstream is taken. Later ones do not
	// change it, so that a version that turns slow does not raise what is expected of it. It is used from minCalibration on.
	calibrationCalls = 40
	minCalibration   = 8
	// slowerOdds is how many times as probable the latencies must be under a version that is slower by one of slowerFactors
	// as under one that is as fast, and more by settledCalls divided by the number of responses: the normal approximation
	// is poor for few. With upstreams of one speed that is a version 2.7 times slower.
	slowerOdds   = 4
	settledCalls = 200
	// freshLean is how many standard errors an upstream of the new version may be slower than its first responses showed.
	freshLean = 1.5
	// minProfileCalls is the number of responses from which an upstream counts in that comparison, and maxProfiles the number
	// of upstreams of each version in it, which bounds its time.
	minProfileCalls = 4
	maxProfiles     = 10
	// offsetError is the standard deviation of an offset, in buckets, that remains with many responses. outlierShare is
	// the part of upstreams whose latency has another cause, spread over outlierRange buckets: none decides alone.
	offsetError  = 0.3
	outlierShare = 0.02
	outlierRange = 20
	// meanSteps is the number of latencies at the mean speed over which is integrated.
	meanSteps = 32
	// minRouteEffect is by how many buckets a route must be slower than the other routes of the same upstreams: 1.7 times.
	minRouteEffect = 1.5
	// comparedAgain is by how much the number of responses of the new version must have grown for another comparison of
	// speeds: it takes 0.3 ms for 220 upstreams, and a decider looks every 50 ms.
	comparedAgain = 1.02
	// rateTime is the time over which the rate of an upstream is averaged: four fast reports.
	rateTime = time.Second
)

// slowerFactors are how many times slower a bad version may be. The most probable one counts.
var slowerFactors = [...]float64{3, 5, 9}

// inBuckets returns a ratio of latencies in buckets.
func inBuckets(ratio float64) float64 { return bucketsPerDouble * math.Log2(ratio) }

// sample estimates the offset of an upstream from the roots of its latencies. With exponential service times it needs two
// thirds of the responses that a mean of logarithms needs, and it depends less on a few long ones than a plain mean.
type sample struct{ calls, roots, squares float64 }

// bucketsPerRoot is the number of buckets in which the root of a latency doubles.
const bucketsPerRoot = 2 * bucketsPerDouble

// without returns what remains of a sample without a part of it.
func (s *sample) without(part *sample) sample {
	return sample{s.calls - part.calls, s.roots - part.roots, s.squares - part.squares}
}

func (s *sample) add(offset, calls float64) {
	root := math.Exp2(offset / bucketsPerRoot)
	s.calls += calls
	s.roots += root * calls
	s.squares += root * root * calls
}

// mean returns the offset in buckets.
func (s *sample) mean() float64 { return bucketsPerRoot * math.Log2(s.roots/s.calls) }

// variance returns the variance of the mean offset of one response.
func (s *sample) variance() float64 {
	mean := s.roots / s.calls
	relative := max(s.squares/s.calls/(mean*mean)-1, 0)
	return relative * (bucketsPerRoot / math.Ln2) * (bucketsPerRoot / math.Ln2)
}

// profile is what has been observed of one upstream.
type profile struct {
	isNew      bool
	all, first sample
	routes     map[string]*sample
	rate       float64 // responses a second
	at         time.Duration
	load       load
}

// load is how busy an upstream was.
type load struct {
	rate float64 // responses a second for each slot; 0 if it is not known
	busy float64 // calls in progress beside a response
}

func (p *profile) route(name string) *sample {
	if p.routes[name] == nil {
		p.routes[name] = &sample{}
	}
	return p.routes[name]
}

// observeLoad notes the load that a report shows.
func (p *profile) observeLoad(now time.Duration, r Report) {
	calls := 0
	for _, route := range r.Routes {
		calls += route.Calls
	}
	elapsed := now - p.at
	if p.at > 0 && elapsed > 0 {
		p.rate += (float64(calls)/elapsed.Seconds() - p.rate) * min(1, elapsed.Seconds()/rateTime.Seconds())
	}
	p.at = now
	if r.Slots > 0 {
		p.load.rate = p.rate / float64(r.Slots)
	}
	if calls > 0 {
		p.load.busy = float64(r.Busy) / float64(calls)
	}
}

// allowance returns by how many buckets the responses of an upstream may be slower because its speed is known by now, and
// whether it is. It lies within the bounds of speeds.
func (p *profile) allowance() (float64, bool) {
	if p.first.calls < minCalibration {
		return 0, false
	}
	offset := p.first.mean()
	if p.isNew {
		offset += freshLean * math.Sqrt(p.first.variance()/p.first.calls)
	}
	return min(max(offset, -inBuckets(fastestSpeed)), -inBuckets(slowestSpeed)), true
}

// reference is the recent mean latency of the old version on a route, and the load under which it was observed.
type reference struct {
	calls, roots float64 // as in sample
	rate, busy   float64 // sums over the responses
}

func (r *reference) add(c RouteCount, l load) {
	for i, n := range c.Buckets {
		r.calls += float64(n)
		r.roots += math.Exp2(float64(i)/bucketsPerRoot) * float64(n)
		r.rate += l.rate * float64(n)
		r.busy += l.busy * float64(n)
	}
}

// age halves the weight of what was observed so far, so that the mean follows trouble that meets both versions.
func (r *reference) age() {
	r.calls, r.roots, r.rate, r.busy = r.calls/2, r.roots/2, r.rate/2, r.busy/2
}

// loadAllowance returns by how many buckets responses may be slower because the upstream is busier than those of the old
// version were: in proportion to its requests for each slot, and not more than the calls in progress explain if they share
// one processor. Calls in progress alone would excuse a slow version, which has more of them by itself.
func (r *reference) loadAllowance(l load) float64 {
	if r.rate <= 0 || l.rate <= 0 {
		return 0
	}
	byRate := inBuckets(l.rate * r.calls / r.rate)
	byBusy := inBuckets((1 + l.busy) / (1 + r.busy/r.calls))
	return max(min(byRate, byBusy), 0)
}

// observe takes the latencies of a report into the profile of its upstream, and returns by how many buckets they are to be
// shifted before they are compared with those of other upstreams, and whether that is known.
func (e *Evidence) observe(p *profile, c RouteCount) (shift float64, known bool) {
	ref := e.references[c.Route]
	if ref == nil {
		ref = &reference{}
		e.references[c.Route] = ref
	}
	if !p.isNew {
		ref.add(c, p.load)
	}
	if ref.calls == 0 {
		return 0, false
	}
	busier := ref.loadAllowance(p.load)
	expected := bucketsPerRoot*math.Log2(ref.roots/ref.calls) + busier
	for i, n := range c.Buckets {
		if n == 0 {
			continue
		}
		offset := float64(i) - expected
		p.all.add(offset, float64(n))
		p.route(c.Route).add(offset, float64(n))
		if p.first.calls < calibrationCalls {
			p.first.add(offset, float64(n))
		}
	}
	slower, known := p.allowance()
	return slower + busier, known
}

// profiles returns the upstreams of a version with the most responses, in a fixed order.
func (e *Evidence) profiles(isNew bool) []*profile {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(e.upstreams)) {
		if p := e.upstreams[name]; p.isNew == isNew && p.all.calls >= minProfileCalls {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(e.upstreams[b].all.calls, e.upstreams[a].all.calls)
	})
	var found []*profile
	for _, name := range names[:min(len(names), maxProfiles)] {
		found = append(found, e.upstreams[name])
	}
	return found
}

// slower returns the finding of compareSpeeds, which is computed again when there is more to compare.
func (e *Evidence) slower(old, new []*profile) Finding {
	calls := 0.0
	for _, p := range new {
		calls += p.all.calls
	}
	if calls >= comparedAgain*e.comparedCalls {
		e.compared, e.comparedCalls = compareSpeeds(old, new), calls
	}
	return e.compared
}

// compareSpeeds compares how probable the offsets of the upstreams are if the new version is as fast as the old one, and if
// it is slower by a factor, where each upstream has any speed within the bounds. Score is scaled so that badScore stands
// for slowerOdds.
func compareSpeeds(old, new []*profile) Finding {
	if len(old) == 0 || len(new) == 0 {
		return Finding{}
	}
	variance, shift, calls := pooledVariance(old), 0.0, 0.0
	for _, p := range new {
		shift += p.all.mean() * p.all.calls
		calls += p.all.calls
	}
	if calls < minJudgedCalls {
		return Finding{}
	}
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, p := range old {
		lowest, highest = min(lowest, p.all.mean()), max(highest, p.all.mean())
	}
	from := lowest + inBuckets(slowestSpeed) - 1
	step := (highest + inBuckets(fastestSpeed) + 1 - from) / meanSteps
	asFast, slower := math.Inf(-1), [len(slowerFactors)]float64{}
	for i := range slower {
		slower[i] = math.Inf(-1)
	}
	for i := range meanSteps {
		mean := from + (float64(i)+0.5)*step
		base := logProbability(old, mean, variance)
		asFast = logSum(asFast, base+logProbabilityOfNew(new, mean, variance))
		for i, factor := range slowerFactors {
			slower[i] = logSum(slower[i], base+logProbabilityOfNew(new, mean+inBuckets(factor), variance))
		}
	}
	found := Finding{Kind: kindSlower, Observed: math.Exp2(shift / calls / bucketsPerDouble), Expected: 1}
	found.Score = (slices.Max(slower[:]) - asFast) * badScore / math.Log(slowerOdds*(1+settledCalls/calls))
	switch {
	case found.Score >= badScore:
		found.Verdict = Bad
	case found.Score >= doubtScore:
		found.Verdict = Doubtful
	}
	return found
}

func pooledVariance(profiles []*profile) float64 {
	var sum, calls float64
	for _, p := range profiles {
		sum += p.all.variance() * p.all.calls
		calls += p.all.calls
	}
	return sum / calls
}

// logProbability returns the logarithm of the probability of the offsets of upstreams whose speeds lie anywhere within the
// bounds, if one of the mean speed has the offset mean.
func logProbability(upstreams []*profile, mean, variance float64) float64 {
	fast, slow := -inBuckets(fastestSpeed), -inBuckets(slowestSpeed)
	total := 0.0
	for _, p := range upstreams {
		deviation := math.Sqrt(variance/p.all.calls + offsetError*offsetError)
		offset := p.all.mean() - mean
		within := (normal((offset-fast)/deviation) - normal((offset-slow)/deviation)) / (slow - fast)
		total += math.Log((1-outlierShare)*within + outlierShare/outlierRange)
	}
	return total
}

// logProbabilityOfNew is logProbability for the upstreams of the new version, which may as well have one speed in common,
// as instances that were started together do.
func logProbabilityOfNew(upstreams []*profile, mean, variance float64) float64 {
	return logSum(logProbability(upstreams, mean, variance), logProbabilityOfAlike(upstreams, mean, variance))
}

// logProbabilityOfAlike is logProbability for upstreams of one speed, which lies anywhere within the bounds.
func logProbabilityOfAlike(upstreams []*profile, mean, variance float64) float64 {
	var weights, sum, squares, total float64
	for _, p := range upstreams {
		deviation := variance/p.all.calls + offsetError*offsetError
		offset := p.all.mean() - mean
		weights += 1 / deviation
		sum += offset / deviation
		squares += offset * offset / deviation
		total -= math.Log(2*math.Pi*deviation) / 2
	}
	common, deviation := sum/weights, 1/math.Sqrt(weights)
	total -= (squares - sum*common) / 2 // how much they differ among themselves
	fast, slow := -inBuckets(fastestSpeed), -inBuckets(slowestSpeed)
	within := (normal((common-fast)/deviation) - normal((common-slow)/deviation)) / (slow - fast)
	return total + math.Log(within*deviation*math.Sqrt(2*math.Pi))
}

// normal returns the cumulative distribution function of the normal distribution.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// logSum returns the logarithm of the sum of two numbers given by their logarithms.
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(a, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
