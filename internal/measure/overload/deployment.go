package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/operator"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// size is the size of a deployment in section 1.2 of the design page, with a service time chosen so that a load of
// four times the capacity needs no more than two cores of the machine.
type size struct {
	slots   int
	service time.Duration // mean; the distribution is uniform from 0 to twice the mean
}

var sizes = map[string]size{
	"vestfold":  {slots: 6, service: 100 * time.Millisecond},
	"sudurland": {slots: 12, service: 200 * time.Millisecond},
}

const (
	// readyTimeout bounds the wait until all nodes know all upstreams as ready.
	readyTimeout = 20 * time.Second
	ramp         = 10 * time.Second // of the pools in the examples
)

// deployment is a running example.
type deployment struct {
	size
	name          string
	binDir        string
	processes     fleet.Processes
	places        []*fleet.Place // sorted by name
	settingsTexts []string       // settings of the nodes, in the order of places
	platform      string
	snapshot      *tables.Snapshot
	bestGoodput   map[string]float64 // highest goodput so far, by pool and scenario name
}

// startDeployment starts the processes of an example and waits until all upstreams are ready and their ramp has
// passed. After an error the deployment that it returns holds the processes started so far.
func startDeployment(ctx context.Context, o options, name, binDir string) (*deployment, error) {
	directory := filepath.Join(binDir, name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	d := &deployment{
		size: sizes[name], name: name, binDir: binDir, bestGoodput: map[string]float64{},
		processes: fleet.Processes{Directory: directory},
	}
	example := filepath.Join(o.examples, name)
	for _, step := range []func() error{
		func() error { return d.readTables(example) },
		func() error { return d.readPlaces(example) },
		func() error { return d.startPlatform(ctx, example) },
		func() error { return d.startPlaces(ctx, o.seed) },
		func() error { return d.awaitUpstreams(ctx) },
		func() error { return fleet.Sleep(ctx, ramp) },
	} {
		if err := step(); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) readTables(example string) error {
	routes, pools, err := operator.ReadTables(filepath.Join(example, operator.RoutesFile), filepath.Join(example, operator.PoolsFile))
	if err != nil {
		return err
	}
	d.snapshot, err = tables.Check(tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)})
	return err
}

// readPlaces reads the settings of the nodes and replaces their network by one derived from the id of this
// process, so that an example started by hand can run at the same time.
func (d *deployment) readPlaces(example string) error {
	files, err := filepath.Glob(filepath.Join(example, "nodes", "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no node settings in %s: %v", example, err)
	}
	sort.Strings(files)
	pid := os.Getpid()
	network := fmt.Sprintf("127.%d.%d.", 1+pid>>8%250, 1+pid%250)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		moved := strings.ReplaceAll(string(text), "127.0.0.", network)
		path := filepath.Join(d.processes.Directory, "check.ini")
		if err := os.WriteFile(path, []byte(moved), 0o600); err != nil {
			return err
		}
		s, err := settings.Load(path)
		if err != nil {
			return err
		}
		host, _, _ := strings.Cut(s.Listen.Callers, ":")
		d.places = append(d.places, &fleet.Place{
			ID: s.Node.ID, Zone: s.Node.Zone, Service: s.Node.ID[:strings.LastIndexByte(s.Node.ID, '-')],
			Callers: s.Listen.Callers, Peers: s.Listen.Peers, Operator: s.Listen.Operator, Register: s.Listen.Register,
			BackendAddress: host + ":15010",
		})
		d.settingsTexts = append(d.settingsTexts, moved)
		d.platform = s.Platform.Address
	}
	return nil
}

func (d *deployment) programPath(name string) string { return filepath.Join(d.binDir, name) }

// startPlatform starts the platform stand-in and writes the tables of the example to it.
func (d *deployment) startPlatform(ctx context.Context, example string) error {
	if _, err := d.processes.Start("platform", d.programPath("rosemaryhatch-standin"), "platform", "--listen", d.platform); err != nil {
		return err
	}
	if err := fleet.AwaitListener(ctx, d.platform); err != nil {
		return err
	}
	_, err := fleet.RunTool(ctx, d.programPath("rosemaryhatchctl"), "--platform", d.platform, "--author", "overload", "apply",
		filepath.Join(example, operator.RoutesFile), filepath.Join(example, operator.PoolsFile), "--expect", "0")
	return err
}

func (d *deployment) startPlaces(ctx context.Context, seed uint64) error {
	for i := range d.places {
		if err := d.startPlace(ctx, i, seed); err != nil {
			return err
		}
	}
	return nil
}

// startPlace starts a node and its backend server and waits until both accept connections.
func (d *deployment) startPlace(ctx context.Context, index int, seed uint64) error {
	p := d.places[index]
	if err := d.processes.StartNode(ctx, p, d.binDir, d.settingsTexts[index]); err != nil {
		return err
	}
	var err error
	p.Backend, err = d.processes.Start("backend-"+p.ID, d.programPath("rosemaryhatch-standin"), "backend",
		"--listen", p.BackendAddress, "--register", p.Register, "--service", p.Service, "--slots", fmt.Sprint(d.slots),
		"--service-time", d.service.String(), "--distribution", "uniform", "--seed", fmt.Sprint(seed*1000+uint64(index)),
		"--journal", d.journalPath(p))
	if err != nil {
		return err
	}
	return fleet.AwaitListener(ctx, p.BackendAddress)
}

// journalPath returns the file in which a backend server records its executions, which survives a kill.
func (d *deployment) journalPath(p *fleet.Place) string {
	return filepath.Join(d.processes.Directory, p.ID+".journal")
}

// awaitUpstreams waits until every node knows every upstream as ready, for at most readyTimeout.
func (d *deployment) awaitUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := 0
		out, err := fleet.RunTool(ctx, d.programPath("rosemaryhatchctl"), "--output", "json", "status", "--node", d.places[0].Operator)
		var answers []operator.NodeAnswer
		if err == nil && json.Unmarshal(out, &answers) == nil {
			ready = minReadyUpstreams(answers, len(d.places))
		}
		if ready == len(d.places) {
			return nil
		}
		if fleet.Sleep(ctx, 200*time.Millisecond) != nil {
			return fmt.Errorf("%d of %d upstreams are known to all nodes after %v", ready, len(d.places), readyTimeout)
		}
	}
}

// minReadyUpstreams returns the lowest number of upstreams that any node knows as ready, and 0 while fewer than
// the given number of nodes answer.
func minReadyUpstreams(answers []operator.NodeAnswer, nodes int) int {
	if len(answers) < nodes {
		return 0
	}
	least := nodes
	for _, answer := range answers {
		ready := 0
		for _, member := range answer.Status.Members {
			if member.State == "alive" && member.Upstream.State == "ready" {
				ready++
			}
		}
		least = min(least, ready)
	}
	return least
}

// countUpstreams returns the number of upstreams of a service.
func (d *deployment) countUpstreams(service string) int {
	count := 0
	for _, p := range d.places {
		if p.Service == service {
			count++
		}
	}
	return count
}

// lastThird returns the indexes in places of the last third of the upstreams of each service.
func (d *deployment) lastThird() []int {
	var chosen []int
	rank := map[string]int{}
	for i, p := range d.places {
		rank[p.Service]++
		count := d.countUpstreams(p.Service)
		if rank[p.Service] > count-(count+1)/3 {
			chosen = append(chosen, i)
		}
	}
	return chosen
}
