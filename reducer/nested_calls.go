package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/nested"
)

const (
	// withheldTTL is how long a reported admitted share of a route is used. Reports come with each answer.
	withheldTTL = 500 * time.Millisecond
	// withheldWeight is the weight of the newest report in the admitted share.
	withheldWeight = 0.5
	// maxNestedRoutes bounds the routes of which targets have said whether they are nested, and those that are held back.
	maxNestedRoutes = 1024
)

// nestedState holds what this node knows of the calls that backend servers make while they run requests.
type nestedState struct {
	origins  nested.Origins   // of the calls that are forwarded to this node
	callers  nested.Callers   // which requests beside this node make nested calls
	holdback nested.Holdback  // of routes of the service beside this node
	verdicts map[string]bool  // whether a route is nested when it is called from beside this node, as targets report
	withheld map[string]share // admitted shares of routes, as targets report
}

// share is a reported admitted share of a route.
type share struct {
	admitted float64
	at       time.Duration
}

// noteNested decides whether a new call is nested: its caller says so, or its targets have learned it and it does not
// arrive while nothing runs beside this node. The deadline counts for a nested call, not the target latency of its route.
// Its priority is that of the request that made it where that is known and higher than that of its route.
func (s *State) noteNested(call *ingressCall) {
	n := &s.nested
	n.callers.Entered(call.route.Name)
	learned := n.verdicts[call.route.Name] && !n.callers.ArrivesIdle(call.route.Name)
	if s.cfg.DisableNested || s.cfg.Discipline != DisciplineShares || call.limits.Depth <= 1 && !learned {
		return
	}
	call.nested, call.due = true, 0
	if outer := s.target.byID[call.parent]; outer != nil {
		call.madeBy = []nested.Share{{Name: outer.route, Priority: outer.priority, Value: 1}}
	} else {
		call.madeBy = slices.Clone(n.callers.Called(s.now, call.route.Name))
	}
	call.route.Priority = nested.Priority(call.route.Priority, call.madeBy)
}

// loadClass returns the priority of a call for estimates of the load of upstreams, or nestedClass.
func (c *ingressCall) loadClass() int {
	if c.nested {
		return nestedClass
	}
	return c.route.Priority
}

// noteNestedEnd counts the end of a nested call for the routes whose requests may have made it.
func (s *State) noteNestedEnd(call *ingressCall, outcome Outcome, reason Reason) {
	if !call.nested {
		return
	}
	failed := call.failedBelow || outcome != OutcomeDone && call.failsByLoad(reason, s.now)
	for _, caller := range call.madeBy {
		s.nested.holdback.Finished(s.now, caller.Name, caller.Value, failed)
	}
}

// failsByLoad reports whether a nested call without a response fails because of load. Other failures, such as those of a
// faulty upstream, end by ejection and retries, and holding requests back would not help: a backend server that sheds a part
// of its calls serves no more of them. A caller that leaves when nearly no time is left has waited in vain.
func (c *ingressCall) failsByLoad(reason Reason, now time.Duration) bool {
	if reason == ReasonCallerGone {
		return c.deadline-now < (c.deadline-c.arrivedAt)/10
	}
	return reason == ReasonDeadline || reason == ReasonQueueFull || reason == ReasonOverloaded || reason == ReasonNestedFailing
}

// learnOrigin counts a forwarded call for the question whether its route is nested. A node without a backend server makes no
// nested calls.
func (s *State) learnOrigin(in ForwardArrived) {
	origin := s.members.table[in.ID.Origin]
	service, learned := origin.Upstream.Service, &s.nested.origins
	if service == "" || s.cfg.DisableNested {
		return
	}
	learned.Own = s.backend.service
	if !learned.Arrived(in.Route, string(origin.Node), service) {
		return
	}
	calls, evidence := learned.Evidence(in.Route)
	s.log(LevelInfo, "learned whether a route is called by backend servers", Field{"route", in.Route}, Field{"from", service},
		Field{"nested", learned.Verdict(in.Route, service) == nested.Nested}, Field{"calls", calls}, Field{"evidence", evidence})
}

// prepareNested makes the deadline of a nested call its due time: a late response is of no use to the request that made it.
func (s *State) prepareNested(call *targetCall) {
	call.nested = call.nested && s.target.queue.discipline == DisciplineShares
	if call.nested {
		call.due = call.deadline
	}
}

// reportFor returns the load report for the answer to a call, with what this node has learned of its route.
func (s *State) reportFor(call *targetCall) LoadReport {
	report := s.loadReport()
	if origin, known := s.members.table[call.id.Origin]; known {
		report.RouteNested = s.nested.origins.Verdict(call.route, origin.Upstream.Service)
	}
	admitted := s.nested.holdback.Admitted(s.now, call.route)
	report.Withheld = int(100 - 100*admitted)
	s.addWorkspaceWait(call, &report)
	return report
}

// learnFromReport takes over what a target has learned of the route of a call.
func (s *State) learnFromReport(call *ingressCall, report *LoadReport) {
	s.noteWorkspaceWait(call, report)
	n, route := &s.nested, call.route.Name
	if report.RouteNested != nested.Unknown && (len(n.verdicts) < maxNestedRoutes || report.RouteNested == nested.Ordinary) {
		if n.verdicts == nil {
			n.verdicts = map[string]bool{}
		}
		if n.verdicts[route] = report.RouteNested == nested.Nested; !n.verdicts[route] {
			delete(n.verdicts, route)
		}
	}
	old, known := n.withheld[route]
	if report.Withheld == 0 && !known || !known && len(n.withheld) >= maxNestedRoutes {
		return
	}
	if n.withheld == nil {
		n.withheld = map[string]share{}
	}
	admitted := 1 - float64(min(max(report.Withheld, 0), 100))/100
	if known && s.now-old.at <= withheldTTL {
		admitted = old.admitted + withheldWeight*(admitted-old.admitted)
	}
	if n.withheld[route] = (share{admitted, s.now}); report.Withheld == 0 && admitted > 0.99 {
		delete(n.withheld, route)
	}
}

// admittedShare returns the share of the new calls of a route that its targets admit, by their reports.
func (s *State) admittedShare(route string) float64 {
	reported, known := s.nested.withheld[route]
	if !known || s.now-reported.at > withheldTTL {
		return 1
	}
	return reported.admitted
}

// isWithheld reports whether a new call is refused at this node because its nested calls could not be served now. A nested
// call is not: its failures hold back the requests of callers that make it, and refusals at each level of a call tree would
// multiply.
func (s *State) isWithheld(call *ingressCall) bool {
	if call.nested {
		return false
	}
	admitted := s.admittedShare(call.route.Name)
	return admitted < 1 && s.random(100) >= int(100*admitted)
}

// isWithheldHere is isWithheld for a call that has reached the node beside its backend server.
func (s *State) isWithheldHere(call *targetCall) bool {
	admitted := s.nested.holdback.Admitted(s.now, call.route)
	if s.nested.holdback.Report(s.now, call.route) {
		s.log(LevelInfo, "requests whose nested calls fail are held back", Field{"route", call.route}, Field{"admitted", admitted},
			Field{"failed", s.nested.holdback.FailShare(call.route)})
	}
	return admitted < 1 && !call.nested && s.random(100) >= int(100*admitted)
}

// noteFailedBelow reports whether a response of the backend server to a local call is a failure while the calls that it makes
// for requests of the same route fail, which is not its fault.
func (s *State) noteFailedBelow(call *targetCall, in BackendRequestDone) bool {
	failed := in.Status >= failureStatus && s.nested.holdback.Admitted(s.now, call.route) < 1
	if caller := s.ingress.calls[call.handle]; caller != nil {
		caller.failedBelow = failed
	}
	return failed
}

// withheldRetryAfter returns the time until all calls of a route are admitted again if its nested calls succeed, within the
// bounds of other hints.
func (s *State) withheldRetryAfter(call *ingressCall) time.Duration {
	limit := max((call.effectiveDeadline(s.now)-s.now)/retryAfterDivisor, minRetryAfter)
	hint := min(max(nested.RegainTime(s.admittedShare(call.route.Name)), minRetryAfter), limit)
	if s.sharesApply(call) {
		return s.spreadRetryAfter(call, hint, limit)
	}
	return hint
}
