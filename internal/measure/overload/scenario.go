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
	// extra is what the priorities that do not flood offer beyond their minimum share, as a part of the
	// capacity, so that the share is what bounds them.
	extra = 0.05
	// light is the load before and after a flood.
	light = 0.5
	// slowdown is the factor of the service time of a third of the upstreams.
	slowdown = 10
)

// Lengths of the phases of a run, and the part of a flood that is left out of its figures.
const (
	before    = 2 * time.Second
	floodTime = 10 * time.Second
	settled   = 2 * time.Second
	faultTime = 8 * time.Second
	after     = 5 * time.Second
	// afterKill covers the ramp of the upstreams that come back.
	afterKill = 16 * time.Second
)

// scenario is one run: a phase before, the phase that is measured and a phase of recovery.
type scenario struct {
	name        string
	most        bool    // the most urgent priority of each pool floods, not the least urgent one
	rest        float64 // load of the first and the last phase, in multiples of the capacity
	factor      float64 // load of the measured phase
	urgent      float64 // load of the most urgent priority when another one floods
	lengths     [3]time.Duration
	settle      time.Duration // part of the measured phase that is left out of the figures
	begin, end  func(context.Context, *deployment) error
	keys        bool // on the routes that are not idempotent
	keepTargets bool // callers use all nodes; otherwise only those that are not killed
}

func (d *deployment) scenarios(o options) []scenario {
	var all []scenario
	wants := func(part string) bool { return o.part == "all" || o.part == part }
	if wants("flood") {
		for _, most := range []bool{false, true} {
			for _, factor := range o.factors {
				name := "flood of the least urgent priority"
				if most {
					name = "flood of the most urgent priority"
				}
				all = append(all, scenario{
					name: name, most: most, rest: light, factor: factor, urgent: o.urgent, keys: o.keys, keepTargets: true,
					lengths: [3]time.Duration{before, floodTime, after}, settle: settled,
				})
			}
		}
	}
	if wants("slow") {
		all = append(all, scenario{
			name: "a third of the upstreams is ten times slower", rest: 1, factor: 1, urgent: o.urgent, keys: o.keys, keepTargets: true,
			lengths: [3]time.Duration{before, faultTime, after},
			begin:   slowThird(slowdown), end: slowThird(1),
		})
	}
	if wants("kill") {
		all = append(all, scenario{
			name: "a third of the upstreams is killed and comes back", rest: 1, factor: 1, urgent: o.urgent, keys: o.keys,
			lengths: [3]time.Duration{before, faultTime, afterKill},
			begin:   killThird, end: func(ctx context.Context, d *deployment) error { return restartThird(ctx, d, o.seed) },
		})
	}
	return all
}

// slowThird sets the factor of the service times of a third of the upstreams.
func slowThird(factor int) func(context.Context, *deployment) error {
	return func(ctx context.Context, d *deployment) error {
		for _, i := range d.third() {
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

// killThird kills a third of the nodes and the backend servers beside them.
func killThird(_ context.Context, d *deployment) error {
	for _, i := range d.third() {
		d.places[i].Backend.Signal(syscall.SIGKILL)
		d.places[i].Node.Signal(syscall.SIGKILL)
	}
	return nil
}

func restartThird(ctx context.Context, d *deployment, seed uint64) error {
	for _, i := range d.third() {
		if err := d.startPlace(ctx, i, seed); err != nil {
			return err
		}
	}
	return nil
}

// offered returns the load of each route of a pool as a part of the pool's capacity, when the whole is total.
// A priority that does not flood offers its own load, in proportion below the capacity.
func offered(routes []tables.Route, shares [tables.Priorities]int, total float64, most bool, urgent float64) []float64 {
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
	if most {
		flood = first
	}
	loads := make([]float64, len(routes))
	loads[flood] = total
	for i, r := range routes {
		if i == flood {
			continue
		}
		own := float64(shares[r.Priority])/100 + extra
		if i == first {
			own = urgent
		}
		loads[i] = own * min(total, 1)
		loads[flood] -= loads[i]
	}
	return loads
}

// specs returns the calls of all routes when the load is a multiple of the capacity.
func (d *deployment) specs(s scenario, total float64) []load.Spec {
	var specs []load.Spec
	for _, pool := range d.snapshot.Pools() {
		routes := d.routes(pool.Name)
		capacity := float64(d.upstreams(pool.Service)*d.slots) / d.service.Seconds()
		for i, part := range offered(routes, pool.MinShares, total, s.most, s.urgent) {
			r := routes[i]
			if part <= 0 {
				continue
			}
			spec := load.Spec{
				Name: r.Name, Method: r.Methods[0], Path: r.Path, Priority: r.Priority, Rate: part * capacity,
				Idempotent: r.Idempotent, Timeout: r.Timeout, BodyBytes: int(min(r.MaxBodyBytes, bodyBytes)),
				NoKey: !s.keys,
			}
			specs = append(specs, spec)
		}
	}
	return specs
}

// bodyBytes is the length of the request body where the route allows one.
const bodyBytes = 64

// routes returns the routes of a pool.
func (d *deployment) routes(pool string) []tables.Route {
	var routes []tables.Route
	for _, r := range d.snapshot.Routes() {
		if r.Pool == pool {
			routes = append(routes, r)
		}
	}
	return routes
}
