package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	platformstandin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// The service that is rolled out and its versions.
const (
	rollOutService = "counter-desk"
	oldVersion     = "v1"
	newVersion     = "v2"
)

// rollOutTimeout is the timeout of the routes of the service.
const rollOutTimeout = 2 * time.Second

// rollOutCluster is a cluster with 3 upstreams of the old and 2 of the new version of a service in two zones, and an
// upstream of another service, whose node takes part in a roll-out without an upstream of it.
type rollOutCluster struct {
	*Cluster
	old, new []*fleet.Place
}

// newRollOutCluster returns a cluster whose new version has a defect.
func newRollOutCluster(programs, directory string, defect backend.Defect) (*rollOutCluster, error) {
	places := []*fleet.Place{
		{ID: "a1", Zone: "Larvik", Service: rollOutService}, {ID: "a2", Zone: "Larvik", Service: rollOutService},
		{ID: "b1", Zone: "Horten", Service: rollOutService}, {ID: "a4", Zone: "Larvik", Service: "approvals"},
		{ID: "a3", Zone: "Larvik", Service: rollOutService}, {ID: "b2", Zone: "Horten", Service: rollOutService},
	}
	cluster, err := newCluster(programs, directory, rollOutRoutesFormat, rollOutPools, places)
	if err != nil {
		return nil, err
	}
	cluster.Settings = "\n[rollouts]\n"
	c := &rollOutCluster{Cluster: cluster, old: places[:3], new: places[4:]}
	for i, p := range places {
		args := []string{"--service-time", "20ms", "--distribution", "uniform", "--seed", fmt.Sprint(i + 1)}
		if slices.Contains(c.new, p) {
			args = append(args, "--software="+newVersion, fmt.Sprint("--bad-share=", defect.Share), fmt.Sprint("--bad-slowdown=", defect.Slowdown),
				fmt.Sprint("--bad-after=", defect.After), fmt.Sprint("--bad-above=", defect.Above), "--bad-path="+defect.Path)
		} else {
			args = append(args, "--software="+oldVersion)
		}
		c.BackendArgs[p] = args
	}
	return c, nil
}

// rollOutSpecs returns calls to the routes of the service, 200 a second together.
func rollOutSpecs() []load.Spec {
	return []load.Spec{
		{Name: "look", Method: "POST", Path: "/look", Rate: 120, BodyBytes: 64, Idempotent: true, Timeout: rollOutTimeout},
		{Name: "book", Method: "POST", Path: "/book", Rate: 80, BodyBytes: 64, OmitIdempotencyKey: true, Timeout: rollOutTimeout},
	}
}

// order starts the roll-out with rosemaryhatchctl.
func (c *rollOutCluster) order(ctx context.Context, duration time.Duration) error {
	_, err := fleet.RunTool(ctx, filepath.Join(c.programDirectory, "rosemaryhatchctl"),
		"--platform", c.platformAddress, "rollout", "start", rollOutService, newVersion, "--duration", duration.String())
	return err
}

// changes returns the changes of a key of the store, which the platform lists also during its faults.
func (c *rollOutCluster) changes(ctx context.Context, key string) ([]platformstandin.Change, error) {
	var changes []platformstandin.Change
	err := c.callPlatform(ctx, http.MethodGet, platformstandin.ChangesPath+"?prefix="+url.QueryEscape(key), "", &changes)
	return changes, err
}

// orderedAt returns when the order was written.
func (c *rollOutCluster) orderedAt(ctx context.Context) (time.Time, error) {
	changes, err := c.changes(ctx, platform.OwnRollouts().OrderKey(rollOutService))
	if err != nil {
		return time.Time{}, err
	}
	if len(changes) == 0 {
		return time.Time{}, oops.In("processtest").Errorf("no order was written")
	}
	return changes[0].At, nil
}

// rollOutStatus is a status of the roll-out that was written to the store.
type rollOutStatus struct {
	platform.RolloutStatus
	at time.Time
}

func (s rollOutStatus) hasEnded() bool { return s.State != "running" }

// statuses returns the statuses that were written, oldest first.
func (c *rollOutCluster) statuses(ctx context.Context) ([]rollOutStatus, error) {
	rollouts := platform.OwnRollouts()
	changes, err := c.changes(ctx, rollouts.StatusKey(rollOutService))
	if err != nil {
		return nil, err
	}
	var statuses []rollOutStatus
	for _, change := range changes {
		status, err := rollouts.DecodeStatus(change.Value)
		if err != nil {
			return nil, oops.In("processtest").Wrap(err)
		}
		statuses = append(statuses, rollOutStatus{status, change.At})
	}
	return statuses, nil
}

// state returns the newest state of the roll-out in the store, or a zero one.
func (c *rollOutCluster) state(ctx context.Context) (rollout.Update, error) {
	changes, err := c.changes(ctx, platform.RolloutStateKey(rollOutService))
	if err != nil || len(changes) == 0 {
		return rollout.Update{}, err
	}
	var stored rollout.Stored
	err = json.Unmarshal(changes[len(changes)-1].Value, &stored)
	return stored.Update, err
}

// awaitEnd waits until a status that is not running is written. It returns false if there is none by the deadline.
func (c *rollOutCluster) awaitEnd(ctx context.Context, deadline time.Time) (bool, error) {
	for {
		statuses, err := c.statuses(ctx)
		if err != nil {
			return false, err
		}
		if n := len(statuses); n > 0 && statuses[n-1].hasEnded() {
			return true, nil
		}
		if time.Now().After(deadline) {
			return false, nil
		}
		if err := fleet.Sleep(ctx, pollInterval); err != nil {
			return false, err
		}
	}
}

// awaitDecider waits until a node decides the roll-out and returns its place.
func (c *rollOutCluster) awaitDecider(ctx context.Context) (*fleet.Place, error) {
	for {
		changes, err := c.changes(ctx, platform.RolloutDeciderKey(rollOutService))
		if err != nil {
			return nil, err
		}
		if n := len(changes); n > 0 && !changes[n-1].Deleted {
			var id string
			if err := json.Unmarshal(changes[n-1].Value, &id); err != nil {
				return nil, oops.In("processtest").Wrap(err)
			}
			for _, p := range c.Places {
				if p.ID == id {
					return p, nil
				}
			}
			return nil, oops.In("processtest").Errorf("node %q decides, which does not exist", id)
		}
		if err := fleet.Sleep(ctx, pollInterval); err != nil {
			return nil, err
		}
	}
}

// executions returns what the backend servers of the places have executed, with the ends of the requests.
func (c *rollOutCluster) executions(ctx context.Context, places []*fleet.Place) ([]backend.Execution, error) {
	var addresses []string
	for _, p := range places {
		addresses = append(addresses, p.BackendAddress)
	}
	return load.ReadExecutions(ctx, addresses)
}

// restart ends the node of a place with a signal and starts it again.
func (c *rollOutCluster) restart(ctx context.Context, p *fleet.Place, signal syscall.Signal) error {
	p.Node.Signal(signal)
	if err := p.Node.Wait(ctx, startTimeout); err != nil && signal != syscall.SIGKILL {
		return err
	}
	return c.StartNode(ctx, p)
}

const rollOutRoutesFormat = `[route look]
path = /look
pool = desk
priority = 1
idempotent = yes
timeout = 2s

[route book]
path = /book
methods = POST
pool = desk
priority = 0
timeout = 2s

[route approve]
path = /approve
pool = office
timeout = 2%04dms
`

const rollOutPools = `[pool desk]
service = counter-desk
ramp = 0s

[pool office]
service = approvals
`
