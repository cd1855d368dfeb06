package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

// The load of a node in a deployment of 90 members with workspaces and quotas.
const (
	loadWorkspaces = 87
	// loadRate is the rate in calls per second that enter at an observed node for other upstreams, and of those that
	// enter at other nodes for its upstream.
	loadRate = 35
	// loadQuota is the rate and the burst of a workspace. It is never exhausted.
	loadQuota = 1000
	// Sizes of the bodies of requests and responses in bytes; their logarithms are spread evenly.
	minLoadBody = 1 << 10
	maxLoadBody = 60 << 10
	// sizeHeader names the size of the response in a request.
	sizeHeader = "X-Measure-Response-Bytes"
	// loadSettleTime is the time between the forming of the fleet and the first measurement.
	loadSettleTime = 12 * time.Second
	// loadMemory is the memory of an instance in the deployment.
	loadMemory = 184 << 20
	// loadLinkMbps is the link of an instance. Bodies above 16 KiB are paced, but the load does not fill it.
	loadLinkMbps = 100
	loadSeed     = 4
)

// loadOptions selects how a node under load is measured.
type loadOptions struct {
	size     int           // nodes of the fleet
	window   time.Duration // of each measurement
	programs []string      // path of the build of this program for each observed node; empty for one node of this build
	profiles string        // path prefix of the profiles to write; empty for none
}

// reportLoad measures one node, or several of different builds under the same load, in a fleet of nodes that are otherwise
// idle. Each observed node runs in its own process. Nodes differ in their links and in the number of quotas that they own:
// builds are compared by runs with the programs in both orders.
func reportLoad(o loadOptions) {
	printHeading(fmt.Sprintf("load: one node among %d, %d calls/s each way", o.size, loadRate))
	address, stop := startLoadBackend()
	defer stop()
	f := startPlatformWith(loadDocument)
	defer f.stop()
	f.size = o.size
	programs := o.programs
	if len(programs) == 0 {
		programs = []string{""}
	}
	var observed []*child
	for zone := range zones {
		first := 0
		if zone == 0 {
			first = len(programs)
		}
		f.start(hostOptions{zone: zone, first: first, count: nodesInZone(o.size, zone) - first, register: true, backend: address, startInterval: startInterval, linkMbps: loadLinkMbps})
	}
	for index, program := range programs {
		observed = append(observed, f.start(hostOptions{zone: 0, first: index, count: 1, register: true, backend: address, observed: true, program: program, linkMbps: loadLinkMbps}))
	}
	if formed, ok := f.awaitMembers([]nodeRef{{0, 0}, {0, len(programs)}, {3, 1}, {6, 1}}); !ok {
		fmt.Printf("the fleet was not complete after %v\n", formed)
		return
	}
	time.Sleep(loadSettleTime)
	t := newTable("state", "node", "core %", "user %", "system %", "us cpu a call", "switches/s", "GCs/s", "KB/s alloc", "RSS MB", "peer msg/s", "calls", "failed")
	idle := observeAll(observed, o, "idle", func() (int, int) { time.Sleep(o.window); return 0, 0 })
	idle.addRows(t, "idle", nil)
	sendLoad(len(observed), o.size, loadSettleTime/2)
	observeAll(observed, o, "load", func() (int, int) { return sendLoad(len(observed), o.size, o.window) }).addRows(t, "load", idle)
	t.print()
}

// loadFigures are counts of a process that only grow, except for resident.
type loadFigures struct {
	at             time.Time
	user, system   time.Duration
	switches       int
	collections    float64
	allocatedBytes float64
	messages       float64
	resident       int64
}

// loadPeriod holds the figures of the observed nodes at the begin and the end of a measurement.
type loadPeriod struct {
	before, after []loadFigures
	calls, failed int
}

func observeAll(observed []*child, o loadOptions, name string, work func() (calls, failed int)) *loadPeriod {
	p := &loadPeriod{}
	for _, c := range observed {
		p.before = append(p.before, c.loadFigures())
	}
	var profiles sync.WaitGroup
	if o.profiles != "" {
		for i, c := range observed {
			profiles.Go(func() { c.saveProfile(fmt.Sprintf("%s-%s-%d.pprof", o.profiles, name, i), o.window) })
		}
	}
	p.calls, p.failed = work()
	for _, c := range observed {
		p.after = append(p.after, c.loadFigures())
	}
	profiles.Wait()
	return p
}

// addRows adds a row for each observed node. The processor time of a call is what exceeds that at rest, over the calls
// that entered at the node and those that it answered.
func (p *loadPeriod) addRows(t table, state string, rest *loadPeriod) {
	for i := range p.after {
		d := p.since(i)
		perCall := "-"
		if rest != nil {
			r := rest.since(i)
			extra := d.cores() - r.cores()
			perCall = formatNumber(1e6 * extra * d.seconds / float64(max(p.calls/len(p.after), 1)))
		}
		t.row(state, strconv.Itoa(i), fmt.Sprintf("%.2f", 100*d.cores()), fmt.Sprintf("%.2f", 100*d.user/d.seconds), fmt.Sprintf("%.2f", 100*d.system/d.seconds),
			perCall, formatNumber(d.switches/d.seconds), fmt.Sprintf("%.2f", d.collections/d.seconds), formatNumber(d.allocatedBytes/d.seconds/1024),
			formatNumber(float64(p.after[i].resident)/(1<<20)), formatNumber(d.messages/d.seconds), strconv.Itoa(p.calls), strconv.Itoa(p.failed))
	}
}

// loadDifference is the growth of the figures of a node over a measurement.
type loadDifference struct {
	seconds, user, system, switches, collections, allocatedBytes, messages float64
}

func (d loadDifference) cores() float64 { return (d.user + d.system) / d.seconds }

func (p *loadPeriod) since(i int) loadDifference {
	a, b := p.before[i], p.after[i]
	return loadDifference{
		b.at.Sub(a.at).Seconds(), (b.user - a.user).Seconds(), (b.system - a.system).Seconds(), float64(b.switches - a.switches),
		b.collections - a.collections, b.allocatedBytes - a.allocatedBytes, b.messages - a.messages,
	}
}

// loadFigures returns the current figures of the process and its first node.
func (c *child) loadFigures() loadFigures {
	ref := nodeRef{c.options.zone, c.options.first}
	r := scrapeOne(ref)
	out := loadFigures{switches: c.switches()}
	for name, value := range r.kinds {
		if strings.HasPrefix(name, "rosemaryhatch_peer_messages_total") {
			out.messages += value
		}
	}
	out.collections, out.allocatedBytes = memoryCounts(ref)
	u := c.usage()
	out.user, out.system, out.resident, out.at = u.user, u.system, u.resident, time.Now()
	return out
}

// switches returns the number of voluntary context switches of the threads of the process, each of which is a wake-up.
func (c *child) switches() int {
	tasks := fmt.Sprintf("/proc/%d/task", c.command.Process.Pid)
	entries, err := os.ReadDir(tasks)
	must(err)
	total := 0
	for _, e := range entries {
		status, err := os.ReadFile(tasks + "/" + e.Name() + "/status")
		if err != nil {
			continue // the thread has ended
		}
		_, after, _ := strings.Cut(string(status), "\nvoluntary_ctxt_switches:")
		line, _, _ := strings.Cut(after, "\n")
		n, _ := strconv.Atoi(strings.TrimSpace(line))
		total += n
	}
	return total
}

// memoryCounts returns the number of garbage collections and of bytes allocated in the process of a node.
func memoryCounts(node nodeRef) (collections, bytes float64) {
	response, err := scrapeClient.Get("http://" + address(node.zone, node.index, portProfile) + "/debug/pprof/heap?debug=1")
	must(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must(err)
	value := func(name string) float64 {
		_, after, _ := strings.Cut(string(text), "# "+name+" = ")
		line, _, _ := strings.Cut(after, "\n")
		n, _ := strconv.ParseFloat(line, 64)
		return n
	}
	return value("NumGC"), value("TotalAlloc")
}

// saveProfile writes a CPU profile of the process.
func (c *child) saveProfile(path string, window time.Duration) {
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", address(c.options.zone, c.options.first, portProfile), int(window.Seconds()))
	response, err := http.Get(url)
	must(err)
	defer response.Body.Close()
	file, err := os.Create(path)
	must(err)
	defer file.Close()
	_, err = io.Copy(file, response.Body)
	must(err)
}

// startLoadBackend starts a backend server for all upstreams. Its responses have the size that the request names.
func startLoadBackend() (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	filler := make([]byte, maxLoadBody)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a caller that leaves is counted as failed at its end
		size, _ := strconv.Atoi(r.Header.Get(sizeHeader))
		w.Header().Set(frontend.HeaderCallID, r.Header.Get(frontend.HeaderCallID))
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(filler[:min(size, maxLoadBody)])
	})}
	go server.Serve(listener)
	return listener.Addr().String(), func() { server.Close() }
}

// sendLoad sends calls through the observed nodes for the given time: loadRate per second that enter at each, and as many
// that enter at other nodes for its upstream. It returns the number of calls and of those that failed.
func sendLoad(observed, size int, window time.Duration) (calls, failed int) {
	random := rand.New(rand.NewPCG(loadSeed, uint64(window)))
	client := newClient()
	defer client.CloseIdleConnections()
	filler := make([]byte, maxLoadBody)
	owned := make([][]int, observed)
	for i := range owned {
		owned[i] = ownedWorkspaces(size, nodeRef{0, i})
	}
	begin := time.Now()
	var inFlight sync.WaitGroup
	var mu sync.Mutex
	total := int(window.Seconds() * loadRate * 2 * float64(observed))
	for i := range total {
		due := begin.Add(time.Duration(float64(window) * float64(i) / float64(total)))
		time.Sleep(time.Until(due))
		request := newLoadRequest(random, i, owned, size, filler)
		inFlight.Go(func() {
			if err := sendRequest(client, request); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
				fmt.Println("failed after", time.Since(begin).Round(time.Millisecond), err)
			}
		})
	}
	inFlight.Wait()
	return total, failed
}

// newLoadRequest returns the i-th request. Even ones enter at an observed node, odd ones are for its upstream, and of
// workspaces whose quota it owns: the other nodes ask it for tokens as often as in a fleet whose nodes are all under load.
func newLoadRequest(random *rand.Rand, i int, owned [][]int, size int, filler []byte) *http.Request {
	observed := len(owned)
	index := i / 2 % observed
	entry, service := address(0, index, portCallers), observed+random.IntN(nodesInZone(size, 0)-observed)
	workspace := random.IntN(loadWorkspaces)
	if i%2 == 1 {
		zone := 1 + random.IntN(zones-1)
		entry, service = address(zone, random.IntN(nodesInZone(size, zone)), portCallers), index
		workspace = owned[index][random.IntN(len(owned[index]))]
	}
	body := strings.NewReader(string(filler[:loadBodySize(random)]))
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+entry+path(service), body)
	must(err)
	request.Header.Set(frontend.HeaderKey, loadKey(workspace))
	request.Header.Set(sizeHeader, strconv.Itoa(loadBodySize(random)))
	request.Header.Set("X-Request-Id", strconv.Itoa(i))
	return request
}

func loadBodySize(random *rand.Rand) int {
	return int(minLoadBody * math.Pow(maxLoadBody/minLoadBody, random.Float64()))
}

// sendRequest sends a request. It returns an error unless it is answered with status 200 and the whole body.
func sendRequest(client *http.Client, request *http.Request) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || strconv.Itoa(len(body)) != request.Header.Get(sizeHeader) {
		return fmt.Errorf("%s: status %d, %d bytes: %.200s", request.URL, response.StatusCode, len(body), body)
	}
	return nil
}
