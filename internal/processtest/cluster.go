// Package processtest runs the programs as processes on loopback addresses, injects faults, and compares the
// answers to callers with what the backend servers executed.
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
	pollInterval = 50 * time.Millisecond
	// startTimeout bounds the start of processes, for which the design sets no target. It is far above the usual time.
	startTimeout = 60 * time.Second
	// undisturbedTime is how long calls run without a fault before a fault is injected.
	undisturbedTime = time.Second
	// upstreamBound is the time until a failed or leaving upstream gets no more calls (I7 and section 5 of the design page).
	upstreamBound = 3 * time.Second
)

// Build compiles the programs into directory. It names them by import path, because the tests run in the folder of this
// package.
func Build(ctx context.Context, directory string) error {
	const commands = "github.com/rosemaryhatch/rosemaryhatch/cmd/"
	_, err := fleet.RunTool(ctx, "go", "build", "-o", directory+string(filepath.Separator),
		commands+"rosemaryhatch-node", commands+"rosemaryhatchctl", commands+"rosemaryhatch-standin")
	return err
}

// Cluster is a platform stand-in and nodes in two availability zones, each with a backend server.
type Cluster struct {
	fleet.Processes
	Places           []*fleet.Place
	Platform         *fleet.Process
	platformAddress  string
	programDirectory string
	// BackendArgs holds the arguments of the backend stand-in of a place. The default is a service time of 20 ms.
	BackendArgs map[*fleet.Place][]string
	// PlatformAddresses holds, by place, the address at which its node reaches the platform through a forwarder. The
	// nodes of all other places connect to the platform directly.
	PlatformAddresses map[*fleet.Place]string
	// Settings is appended to the settings file of each node.
	Settings string
	// routesFormat formats the routes table of a version, pools is the table of pools.
	routesFormat, pools string
}

// New returns a cluster of 4 nodes whose addresses are assigned and whose processes are not started. Each service has one
// upstream in each zone: stitchroom beside n1 and n4, cuttable beside n2 and n3. Settings, tables, logs and execution
// journals go into directory.
func New(programs, directory string) (*Cluster, error) {
	return newCluster(programs, directory, routesFormat, poolsTable, []*fleet.Place{
		{ID: "n1", Zone: "Larvik", Service: "stitchroom"}, {ID: "n2", Zone: "Larvik", Service: "cuttable"},
		{ID: "n3", Zone: "Horten", Service: "cuttable"}, {ID: "n4", Zone: "Horten", Service: "stitchroom"},
	})
}

func newCluster(programs, directory, routesFormat, pools string, places []*fleet.Place) (*Cluster, error) {
	c := &Cluster{
		Processes: fleet.Processes{Directory: directory}, programDirectory: programs, Places: places,
		BackendArgs: map[*fleet.Place][]string{}, PlatformAddresses: map[*fleet.Place]string{},
		routesFormat: routesFormat, pools: pools,
	}
	var err error
	c.platformAddress, err = fleet.AssignAddresses(c.Places)
	return c, err
}

// Start starts all processes, applies version 1 and waits until every node has it and all upstreams are ready.
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
		args = append(args, "--journal", c.journalPath(p))
		if err := c.StartBackend(ctx, p, c.programDirectory, args...); err != nil {
			return err
		}
	}
	return c.AwaitReady(ctx, 1, startTimeout)
}

// StartPlatform starts a platform with an empty store at the cluster's platform address.
func (c *Cluster) StartPlatform(ctx context.Context) error {
	var err error
	c.Platform, err = c.Processes.Start("platform", filepath.Join(c.programDirectory, "rosemaryhatch-standin"), "platform", "--listen", c.platformAddress)
	if err != nil {
		return err
	}
	return fleet.AwaitListener(ctx, c.platformAddress)
}

// StartNode starts or restarts the node of a place.
func (c *Cluster) StartNode(ctx context.Context, p *fleet.Place) error {
	platform := c.platformAddress
	if forwarder, ok := c.PlatformAddresses[p]; ok {
		platform = forwarder
	}
	return c.Processes.StartNode(ctx, p, c.programDirectory, fleet.NodeSettings(p, c.Places, platform)+c.Settings)
}

// journalPath returns the file in which the backend server of a place records its executions.
func (c *Cluster) journalPath(p *fleet.Place) string {
	return filepath.Join(c.Directory, "executions-"+p.ID+".json")
}

// Apply replaces version-1 by version with rosemaryhatchctl, which queries the running nodes.
func (c *Cluster) Apply(ctx context.Context, version uint64) error {
	for name, text := range map[string]string{operator.RoutesFile: fmt.Sprintf(c.routesFormat, version), operator.PoolsFile: c.pools} {
		if err := os.WriteFile(filepath.Join(c.Directory, name), []byte(text), 0o600); err != nil {
			return oops.In("processtest").Wrap(err)
		}
	}
	args := []string{"--platform", c.platformAddress, "--author", "test", "apply", "--expect", fmt.Sprint(version - 1),
		filepath.Join(c.Directory, operator.RoutesFile), filepath.Join(c.Directory, operator.PoolsFile)}
	for _, p := range c.Places {
		if p.Node != nil && !p.Node.HasEnded() {
			args = append(args, "--node", p.Operator)
		}
	}
	_, err := fleet.RunTool(ctx, filepath.Join(c.programDirectory, "rosemaryhatchctl"), args...)
	return err
}

// AwaitReady waits until every node is ready, has the version and sees every upstream as ready. It returns an error after
// the timeout.
func (c *Cluster) AwaitReady(ctx context.Context, version uint64, timeout time.Duration) error {
	return c.awaitStatus(ctx, timeout, c.Places, func(answers []operator.NodeAnswer) bool {
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

// AwaitVersion waits until every node has the version. It returns an error after the timeout.
func (c *Cluster) AwaitVersion(ctx context.Context, version uint64, timeout time.Duration) error {
	return c.AwaitVersionAt(ctx, version, timeout, c.Places...)
}

// AwaitVersionAt waits until the nodes of the places have the version. It returns an error after the timeout.
func (c *Cluster) AwaitVersionAt(ctx context.Context, version uint64, timeout time.Duration, places ...*fleet.Place) error {
	return c.awaitStatus(ctx, timeout, places, func(answers []operator.NodeAnswer) bool {
		for _, answer := range answers {
			if answer.Problem != "" || answer.Status.Version.Number != version {
				return false
			}
		}
		return true
	})
}

// awaitStatus polls the nodes of the places until isReached accepts their answers. It returns an error with the last
// answers after the timeout.
func (c *Cluster) awaitStatus(ctx context.Context, timeout time.Duration, places []*fleet.Place, isReached func([]operator.NodeAnswer) bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		answers := operator.QueryStatuses(ctx, operatorAddresses(places), false)
		if isReached(answers) {
			return nil
		}
		if fleet.Sleep(ctx, pollInterval) != nil {
			return oops.In("processtest").Errorf("expected status not reached within %v: %+v", timeout, answers)
		}
	}
}

func operatorAddresses(places []*fleet.Place) []string {
	var out []string
	for _, p := range places {
		out = append(out, p.Operator)
	}
	return out
}

// WatchVersions polls the nodes and records each change of the version number that a node reports, by operator address.
// The returned function stops the polling and returns the numbers.
func (c *Cluster) WatchVersions(ctx context.Context) (stop func() map[string][]uint64) {
	ctx, cancel := context.WithCancel(ctx)
	versions, done := map[string][]uint64{}, make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, answer := range operator.QueryStatuses(ctx, operatorAddresses(c.Places), false) {
				previous, number := versions[answer.Address], answer.Status.Version.Number
				if answer.Problem == "" && (len(previous) == 0 || previous[len(previous)-1] != number) {
					versions[answer.Address] = append(previous, number)
				}
			}
			_ = fleet.Sleep(ctx, pollInterval) // the loop condition checks the context
		}
	}()
	return func() map[string][]uint64 {
		cancel()
		<-done
		return versions
	}
}

// ReadExecutions returns what the backend servers of the places executed. It reads their journal files, so it also works
// after a backend server was killed.
func (c *Cluster) ReadExecutions(places ...*fleet.Place) ([]backend.Execution, error) {
	var all []backend.Execution
	for _, p := range places {
		text, err := os.ReadFile(c.journalPath(p))
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

// StartLoad starts to send calls to the nodes of the places and returns a function that waits for the report. The seed is
// also part of the request ids.
func StartLoad(ctx context.Context, seed uint64, duration time.Duration, specs []load.Spec, places ...*fleet.Place) func() load.Report {
	options := load.Options{Specs: specs, Count: maxLoadCalls, Duration: duration, Seed: seed, Prefix: fmt.Sprint("seed", seed)}
	for _, p := range places {
		options.Targets = append(options.Targets, p.Callers)
	}
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(ctx, options) }()
	return func() load.Report { return <-done }
}

// maxLoadCalls bounds the number of calls of one run.
const maxLoadCalls = 10_000

// keyedSpecName names the call specification with an idempotency key.
const keyedSpecName = "orders-keyed"

// CallSpecs returns specifications of non-idempotent calls with and without an idempotency key and of idempotent calls.
// Together they use both services.
func CallSpecs(timeout time.Duration) []load.Spec {
	const rate, body = 25, 100
	spec := func(name, path string, idempotent, noKey bool) load.Spec {
		return load.Spec{
			Name: name, Method: "POST", Path: path, Rate: rate, BodyBytes: body,
			Idempotent: idempotent, OmitIdempotencyKey: noKey, Timeout: timeout,
		}
	}
	return []load.Spec{
		spec("orders", "/orders", false, true), spec(keyedSpecName, "/orders", false, false),
		spec("stock", "/stock", true, true), spec("dues", "/dues", false, true),
	}
}

// routesFormat formats the routes table of a version. The version number goes into the timeout of the first route, so that
// the tables of two versions differ.
const routesFormat = `[route orders]
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

const poolsTable = `[pool stitchroom]
service = stitchroom
ramp = 0s

[pool cuttable]
service = cuttable
ramp = 0s
`
