package rollout

import "math"

// compareRoute compares the latency of the new version on a route with that on the other routes of its upstreams, each as a
// multiple of the old version's. The speeds of the upstreams do not matter for that.
func compareRoute(route string, profiles []*profile) Finding {
	if len(profiles) == 0 {
		return Finding{}
	}
	variance := pooledVariance(profiles)
	var weights, sum, calls float64
	for _, p := range profiles {
		on := p.routes[route]
		if on == nil {
			continue
		}
		others := p.all.without(on)
		if on.calls < 1 || others.calls < 1 {
			continue
		}
		weight := 1 / (variance*(1/on.calls+1/others.calls) + offsetError*offsetError)
		weights += weight
		sum += weight * (on.mean() - others.mean())
		calls += on.calls
	}
	if calls < minCalibration {
		return Finding{}
	}
	effect := sum / weights
	found := Finding{Route: route, Kind: kindSlower, Score: effect * math.Sqrt(weights), Observed: math.Exp2(effect / bucketsPerDouble), Expected: 1}
	switch {
	case effect < minRouteEffect:
	case found.Score >= badScore:
		found.Verdict = Bad
	case found.Score >= doubtScore:
		found.Verdict = Doubtful
	}
	return found
}
