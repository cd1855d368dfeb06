package nested

import "time"

const (
	// holdStep is the interval at which the admitted share of a route is adjusted. It is about the time in which a request
	// makes its nested calls.
	holdStep = 100 * time.Millisecond
	// failDecay is the part of the counted calls that is kept from one step to the next: calls count for about 400 ms, so
	// that a single failure does not decide at a node with a few calls a step.
	failDecay = 0.75
	// maxFailShare is the share of failed nested calls up to which nothing is held back.
	maxFailShare = 0.05
	// minFailed is the weight of failed calls from which requests are held back.
	minFailed = 1.5
	// maxCut is the largest part of the admitted share that one step takes away.
	maxCut = 0.4
	// regain is what each step without failures adds to the admitted share: all is admitted again after 2 s.
	regain = 0.05
	// minAdmitted is the share that is always admitted. It shows when nested calls succeed again.
	minAdmitted = 0.05
	// reportInterval is the least time between two log lines that requests of a route are held back.
	reportInterval = 5 * time.Second
)

// Holdback limits new requests of routes whose nested calls fail: the share that is admitted falls by a factor while
// calls fail and rises by steps while they succeed.
type Holdback struct {
	routes map[string]*held
}

type held struct {
	admitted      float64
	calls, failed float64
	adjusted      time.Duration
	reported      bool // the log says that requests are held back
	reportedAt    time.Duration
}

// Finished counts the end of a nested call that was made with the given probability by a request of a route.
func (h *Holdback) Finished(now time.Duration, route string, weight float64, failed bool) {
	h.Admitted(now, route) // takes the steps that are due, which this call must not count in
	entry := h.routes[route]
	if entry == nil {
		if !failed || len(h.routes) >= maxRoutes {
			return
		}
		if h.routes == nil {
			h.routes = map[string]*held{}
		}
		entry = &held{admitted: 1, adjusted: now}
		h.routes[route] = entry
	}
	entry.calls += weight
	if failed {
		entry.failed += weight
	}
}

// Admitted returns the share of the new requests of a route to admit, from 0 to 1.
func (h *Holdback) Admitted(now time.Duration, route string) float64 {
	entry := h.routes[route]
	if entry == nil {
		return 1
	}
	for entry.adjusted+holdStep <= now {
		entry.step()
		entry.adjusted += holdStep
		if entry.admitted == 1 && entry.calls < priorCalls && !entry.reported && now-entry.reportedAt > reportInterval {
			delete(h.routes, route)
			return 1
		}
	}
	return entry.admitted
}

// Report reports whether to log that requests of a route are held back, or no longer. It is true at most twice in
// reportInterval.
func (h *Holdback) Report(now time.Duration, route string) bool {
	entry := h.routes[route]
	if entry == nil {
		return false
	}
	holds := entry.admitted < 1
	if holds == entry.reported || holds && entry.reportedAt > 0 && now-entry.reportedAt < reportInterval {
		return false
	}
	if entry.reported = holds; holds {
		entry.reportedAt = now
	}
	return true
}

func (e *held) step() {
	failed := e.failed / max(e.calls, 1)
	if e.failed >= minFailed && failed > maxFailShare {
		e.admitted = max(e.admitted*(1-min(failed, maxCut)), minAdmitted)
		e.calls, e.failed = 0, 0 // the same failures must not count again
	} else {
		e.admitted = min(e.admitted+regain, 1)
	}
	e.calls *= failDecay
	e.failed *= failDecay
}

// FailShare returns the share of the recent nested calls of a route that failed.
func (h *Holdback) FailShare(route string) float64 {
	if entry := h.routes[route]; entry != nil && entry.calls > 0 {
		return entry.failed / entry.calls
	}
	return 0
}

// RegainTime returns the time in which a share of a route grows to all without failures.
func RegainTime(admitted float64) time.Duration {
	return time.Duration((1 - admitted) / regain * float64(holdStep))
}
