// Package processtest runs the programs as processes on loopback addresses, harms them and compares the
// answers that callers got with what the backend servers executed.
package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/operator"
)

const (
	pollPause = 50 * time.Millisecond
	// startTimeout bounds the start of processes, which no target bounds; it is far above what it takes.
	startTimeout = 60 * time.Second
)

// Build builds the programs into a directory. The tests run in the folder of this package.
func Build(ctx context.Context, directory string) error {
	const commands = "github.com/rosemaryhatch/rosemaryhatch/cmd/"
	_, err := fleet.RunTool(ctx, "go", "build", "-o", directory+string(filepath.Separator),
		commands+"rosemaryhatch-node", commands+"rosemaryhatchctl", commands+"rosemaryhatch-standin")
	return err
}

// Cluster is a platform and 4 nodes in two availability zones with their backend servers. Each service
// has one upstream in each zone: stitchroom beside n1 and n4, cuttable beside n2 and n3.
type Cluster struct {
	fleet.Processes
	Places   []*fleet.Place
	Platform *fleet.Process
	address  string // of the platform
	programs string
	// BackendArgs are the arguments of the backend stand-in at a place, by default a service time.
	BackendArgs map[*fleet.Place][]string
	// PlatformAt is where the node of a place reaches the platform when that is not the platform's own address.
	PlatformAt map[*fleet.Place]string
}

// New returns a cluster with addresses and without processes.
func New(programs, directory string) (*Cluster, error) {
	c := &Cluster{
		Processes: fleet.Processes{Directory: directory}, programs: programs,
		BackendArgs: map[*fleet.Place][]string{}, PlatformAt: map[*fleet.Place]string{},
		Places: []*fleet.Place{
			{ID: "n1", Zone: "Larvik", Service: "stitchroom"}, {ID: "n2", Zone: "Larvik", Service: "cuttable"},
			{ID: "n3", Zone: "Horten", Service: "cuttable"}, {ID: "n4", Zone: "Horten", Service: "stitchroom"},
		},
	}
	var err error
	c.address, err = fleet.Assign(c.Places)
	return c, err
}

// Start starts all processes, writes version 1 and waits until every node serves it with all upstreams.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.StartPlatform(ctx); err != nil {
		return err
	}
	if err := c.Apply(ctx, 1); err != nil {
		return err
	}
	for _, p := range c.Places {
		if err := c.StartNode(ctx, p); err != nil {
			return err
		}
		args := c.BackendArgs[p]
		if args == nil {
			args = []string{"--service-time", "20ms"}
		}
		args = append(args, "--journal", c.journal(p))
		if err := c.StartBackend(ctx, p, c.programs, args...); err != nil {
			return err
		}
	}
	return c.AwaitReady(ctx, 1, startTimeout)
}

// StartPlatform starts an empty platform at the cluster's platform address.
func (c *Cluster) StartPlatform(ctx context.Context) error {
	var err error
	c.Platform, err = c.Processes.Start("platform", filepath.Join(c.programs, "rosemaryhatch-standin"), "platform", "--listen", c.address)
	if err != nil {
		return err
	}
	return fleet.AwaitListener(ctx, c.address)
}

// StartNode starts the node of a place, again when it ran before.
func (c *Cluster) StartNode(ctx context.Context, p *fleet.Place) error {
	platform := c.address
	if at, ok := c.PlatformAt[p]; ok {
		platform = at
	}
	return c.Processes.StartNode(ctx, p, c.programs, fleet.NodeSettings(p, c.Places, platform))
}

func (c *Cluster) journal(p *fleet.Place) string {
	return filepath.Join(c.Directory, "executions-"+p.ID+".json")
}

// Apply writes a version over the one before with rosemaryhatchctl, which asks the nodes that run.
func (c *Cluster) Apply(ctx context.Context, version uint64) error {
	for name, text := range map[string]string{operator.RoutesFile: fmt.Sprintf(routes, version), operator.PoolsFile: pools} {
		if err := os.WriteFile(filepath.Join(c.Directory, name), []byte(text), 0o600); err != nil {
			return oops.In("processtest").Wrap(err)
		}
	}
	args := []string{"--platform", c.address, "--author", "test", "apply", "--expect", fmt.Sprint(version - 1),
		filepath.Join(c.Directory, operator.RoutesFile), filepath.Join(c.Directory, operator.PoolsFile)}
	for _, p := range c.Places {
		if p.Node != nil && !p.Node.Ended() {
			args = append(args, "--node", p.Operator)
		}
	}
	_, err := fleet.RunTool(ctx, filepath.Join(c.programs, "rosemaryhatchctl"), args...)
	return err
}

// AwaitReady waits until every node has the version and every live node knows every upstream as ready.
func (c *Cluster) AwaitReady(ctx context.Context, version uint64, within time.Duration) error {
	return c.await(ctx, within, c.Places, func(answers []operator.NodeAnswer) bool {
		for _, answer := range answers {
			ready := 0
			for _, m := range answer.Status.Members {
				if m.State == "alive" && m.Upstream.State == "ready" {
					ready++
				}
			}
			if ready != len(c.Places) || !answer.Status.Ready || answer.Status.Version.Number != version {
				return false
			}
		}
		return true
	})
}

// AwaitVersion waits until every node has the version.
func (c *Cluster) AwaitVersion(ctx context.Context, version uint64, within time.Duration) error {
	return c.AwaitVersionAt(ctx, version, within, c.Places...)
}

// AwaitVersionAt waits until the nodes of the places have the version.
func (c *Cluster) AwaitVersionAt(ctx context.Context, version uint64, within time.Duration, places ...*fleet.Place) error {
	return c.await(ctx, within, places, func(answers []operator.NodeAnswer) bool {
		for _, answer := range answers {
			if answer.Problem != "" || answer.Status.Version.Number != version {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) await(ctx context.Context, within time.Duration, places []*fleet.Place, holds func([]operator.NodeAnswer) bool) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		answers := operator.QueryStatuses(ctx, operators(places), false)
		if holds(answers) {
			return nil
		}
		if fleet.Pause(ctx, pollPause) != nil {
			return oops.In("processtest").Errorf("not reached within %v: %+v", within, answers)
		}
	}
}

func operators(places []*fleet.Place) []string {
	var out []string
	for _, p := range places {
		out = append(out, p.Operator)
	}
	return out
}

// WatchVersions records every version number that each node shows until the returned function is called.
func (c *Cluster) WatchVersions(ctx context.Context) (stop func() map[string][]uint64) {
	ctx, cancel := context.WithCancel(ctx)
	seen, done := map[string][]uint64{}, make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, answer := range operator.QueryStatuses(ctx, operators(c.Places), false) {
				of, number := seen[answer.Address], answer.Status.Version.Number
				if answer.Problem == "" && (len(of) == 0 || of[len(of)-1] != number) {
					seen[answer.Address] = append(of, number)
				}
			}
			_ = fleet.Pause(ctx, pollPause) // the loop looks at the context
		}
	}()
	return func() map[string][]uint64 {
		cancel()
		<-done
		return seen
	}
}

// Executions reads what the backend server of a place executed, also when it was killed since.
func (c *Cluster) Executions(places ...*fleet.Place) ([]backend.Execution, error) {
	var all []backend.Execution
	for _, p := range places {
		text, err := os.ReadFile(c.journal(p))
		if err != nil {
			return nil, oops.In("processtest").Wrap(err)
		}
		for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
			var execution backend.Execution
			if len(line) == 0 {
				continue
			}
			if err := json.Unmarshal(line, &execution); err != nil {
				return nil, oops.In("processtest").With("journal", p.ID).Wrap(err)
			}
			all = append(all, execution)
		}
	}
	return all, nil
}

// Load starts calls to the nodes of the places and returns a function that waits for the report. The
// seed is also part of the request ids.
func Load(ctx context.Context, seed uint64, duration time.Duration, specs []load.Spec, places ...*fleet.Place) func() load.Report {
	options := load.Options{Specs: specs, Count: maxCalls, Duration: duration, Seed: seed, Prefix: fmt.Sprint("seed", seed)}
	for _, p := range places {
		options.Targets = append(options.Targets, p.Callers)
	}
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(ctx, options) }()
	return func() load.Report { return <-done }
}

// maxCalls bounds a run of calls.
const maxCalls = 10_000

// keyedCalls is the name of the calls with an idempotency key.
const keyedCalls = "orders-keyed"

// Calls returns calls of every kind: non-idempotent ones with and without an idempotency key, and
// idempotent ones, for both services.
func Calls(timeout time.Duration) []load.Spec {
	const rate, body = 25, 100
	spec := func(name, path string, idempotent, noKey bool) load.Spec {
		return load.Spec{
			Name: name, Method: "POST", Path: path, Rate: rate, BodyBytes: body,
			Idempotent: idempotent, OmitIdempotencyKey: noKey, Timeout: timeout,
		}
	}
	return []load.Spec{
		spec("orders", "/orders", false, true), spec(keyedCalls, "/orders", false, false),
		spec("stock", "/stock", true, true), spec("dues", "/dues", false, true),
	}
}

// routes is the table of routes of a version, which the timeout of the first route carries.
const routes = `[route orders]
path = /orders
methods = POST
pool = cuttable
priority = 0
timeout = 2%04dms
key_retention = 10s

[route stock]
path = /stock
pool = cuttable
priority = 2
idempotent = yes
timeout = 20s

[route dues]
path = /dues
methods = POST
pool = stitchroom
priority = 1
timeout = 20s
`

const pools = `[pool stitchroom]
service = stitchroom
ramp = 0s

[pool cuttable]
service = cuttable
ramp = 0s
`
