package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// extraLoad is the load that the priorities that do not flood offer above their minimum share, as a fraction of
	// the capacity, so that the minimum share limits them rather than their own load.
	extraLoad = 0.05
	// lightLoad is the load before and after a flood, as a fraction of the capacity.
	lightLoad = 0.5
	// slowdown is the factor by which the service time of a third of the upstreams grows.
	slowdown = 10
)

// Durations of the phases of a run.
const (
	leadTime        = 2 * time.Second
	floodDuration   = 10 * time.Second
	floodSettleTime = 2 * time.Second // start of a flood that is excluded from the figures
	faultDuration   = 8 * time.Second
	recoveryTime    = 5 * time.Second
	// killRecoveryTime covers the ramp of the restarted upstreams.
	killRecoveryTime = 16 * time.Second
)

// scenario configures one run: a lead phase, the measured phase and a recovery phase.
type scenario struct {
	name            string
	floodMostUrgent bool    // the most urgent priority of each pool floods instead of the least urgent one
	baseLoad        float64 // load of the lead and recovery phases, in multiples of the capacity
	loadFactor      float64 // load of the measured phase, in multiples of the capacity
	urgentLoad      float64 // load of the most urgent priority when another one floods, as a fraction of the capacity
	phaseDurations  [3]time.Duration
	settleTime      time.Duration // start of the measured phase that is excluded from the figures
	// beginFault and endFault run when the measured phase begins and ends; they are nil if there is no fault.
	beginFault, endFault func(context.Context, *deployment) error
	sendKeys             bool // on routes that are not idempotent
	useAllNodes          bool // callers use all nodes; otherwise only those that are not killed
}

func (d *deployment) scenarios(o options) []scenario {
	var all []scenario
	wants := func(part string) bool { return o.part == "all" || o.part == part }
	if wants("flood") {
		for _, floodMostUrgent := range []bool{false, true} {
			for _, loadFactor := range o.loadFactors {
				name := "flood of the least urgent priority"
				if floodMostUrgent {
					name = "flood of the most urgent priority"
				}
				all = append(all, scenario{
					name: name, floodMostUrgent: floodMostUrgent, baseLoad: lightLoad, loadFactor: loadFactor, urgentLoad: o.urgentLoad, sendKeys: o.sendKeys, useAllNodes: true,
					phaseDurations: [3]time.Duration{leadTime, floodDuration, recoveryTime}, settleTime: floodSettleTime,
				})
			}
		}
	}
	if wants("slow") {
		all = append(all, scenario{
			name: "a third of the upstreams is ten times slower", baseLoad: 1, loadFactor: 1, urgentLoad: o.urgentLoad, sendKeys: o.sendKeys, useAllNodes: true,
			phaseDurations: [3]time.Duration{leadTime, faultDuration, recoveryTime},
			beginFault:     slowThird(slowdown), endFault: slowThird(1),
		})
	}
	if wants("kill") {
		all = append(all, scenario{
			name: "a third of the upstreams is killed and comes back", baseLoad: 1, loadFactor: 1, urgentLoad: o.urgentLoad, sendKeys: o.sendKeys,
			phaseDurations: [3]time.Duration{leadTime, faultDuration, killRecoveryTime},
			beginFault:     killThird, endFault: func(ctx context.Context, d *deployment) error { return restartThird(ctx, d, o.seed) },
		})
	}
	return all
}

// slowThird returns a function that multiplies the service times of a third of the upstreams by factor.
func slowThird(factor int) func(context.Context, *deployment) error {
	return func(ctx context.Context, d *deployment) error {
		for _, i := range d.lastThird() {
			url := fmt.Sprintf("http://%s%s?factor=%d", d.places[i].BackendAddress, backend.PathSlow, factor)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
			if err != nil {
				return err
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err
			}
			response.Body.Close()
			if response.StatusCode != http.StatusNoContent {
				return fmt.Errorf("%s was answered with status %d", url, response.StatusCode)
			}
		}
		return nil
	}
}

// killThird kills a third of the nodes and their backend servers.
func killThird(_ context.Context, d *deployment) error {
	for _, i := range d.lastThird() {
		d.places[i].Backend.Signal(syscall.SIGKILL)
		d.places[i].Node.Signal(syscall.SIGKILL)
	}
	return nil
}

func restartThird(ctx context.Context, d *deployment, seed uint64) error {
	for _, i := range d.lastThird() {
		if err := d.startPlace(ctx, i, seed); err != nil {
			return err
		}
	}
	return nil
}

// splitLoad splits a total load over the routes of a pool; both are fractions of the pool's capacity. The
// priorities that do not flood offer fixed loads, scaled by total if it is below 1. The flooding one offers the rest.
func splitLoad(routes []tables.Route, shares [tables.Priorities]int, total float64, floodMostUrgent bool, urgentLoad float64) []float64 {
	first, last := 0, 0
	for i, r := range routes {
		if r.Priority < routes[first].Priority {
			first = i
		}
		if r.Priority > routes[last].Priority {
			last = i
		}
	}
	flood := last
	if floodMostUrgent {
		flood = first
	}
	loads := make([]float64, len(routes))
	loads[flood] = total
	for i, r := range routes {
		if i == flood {
			continue
		}
		own := float64(shares[r.Priority])/100 + extraLoad
		if i == first {
			own = urgentLoad
		}
		loads[i] = own * min(total, 1)
		loads[flood] -= loads[i]
	}
	return loads
}

// callSpecs returns the calls to send on all routes at a load in multiples of the capacity.
func (d *deployment) callSpecs(s scenario, total float64) []load.Spec {
	var specs []load.Spec
	for _, pool := range d.snapshot.Pools() {
		routes := d.routesOfPool(pool.Name)
		capacity := float64(d.countUpstreams(pool.Service)*d.slots) / d.service.Seconds()
		for i, part := range splitLoad(routes, pool.MinShares, total, s.floodMostUrgent, s.urgentLoad) {
			r := routes[i]
			if part <= 0 {
				continue
			}
			spec := load.Spec{
				Name: r.Name, Method: r.Methods[0], Path: r.Path, Priority: r.Priority, Rate: part * capacity,
				Idempotent: r.Idempotent, Timeout: r.Timeout, BodyBytes: int(min(r.MaxBodyBytes, bodyBytes)),
				OmitIdempotencyKey: !s.sendKeys,
			}
			specs = append(specs, spec)
		}
	}
	return specs
}

// bodyBytes is the length of a request body, if the route allows as much.
const bodyBytes = 64

// routesOfPool returns the routes that use a pool.
func (d *deployment) routesOfPool(pool string) []tables.Route {
	var routes []tables.Route
	for _, r := range d.snapshot.Routes() {
		if r.Pool == pool {
			routes = append(routes, r)
		}
	}
	return routes
}
