package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const beatInterval = 1500 * time.Millisecond

var (
	recordMu  sync.Mutex
	recordOut *os.File
	started   = time.Now()
	toKill    []*nodeProcess
	tempDir   string
	taken     = map[int]bool{}
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordOut, "%7.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

func cleanUp() {
	for _, n := range toKill {
		n.kill()
	}
	os.RemoveAll(tempDir)
}

// finish ends the case with its verdict.
func finish(broken bool, format string, args ...any) {
	verdict, code := "HELD", 0
	if broken {
		verdict, code = "BROKEN", 1
	}
	text := fmt.Sprintf(format, args...)
	record("%s: %s", verdict, text)
	fmt.Println(verdict+":", text)
	cleanUp()
	os.Exit(code)
}

// blocked ends a case that couldn't run.
func blocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	record("COULD NOT RUN: %s", text)
	fmt.Println("COULD NOT RUN:", text)
	cleanUp()
	os.Exit(2)
}

// freePort returns a free port of 127.0.0.1, below those that the system gives to outgoing connections.
func freePort() int {
	for range 200 {
		port := 12000 + rand.IntN(18000)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil && !taken[port] {
			l.Close()
			taken[port] = true
			return port
		}
	}
	blocked("no free port")
	return 0
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

// fill replaces the placeholders of a template, as far as the project's template uses them.
func fill(text string, values map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/([a-z0-9.-]+)\}\}`)
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		m := section.FindStringSubmatch(found)
		if lookUp(values, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	name := regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
	return name.ReplaceAllStringFunc(text, func(found string) string {
		if v := lookUp(values, name.FindStringSubmatch(found)[1]); v != nil {
			return fmt.Sprint(v)
		}
		return ""
	})
}

func lookUp(values map[string]any, path string) any {
	var at any = values
	for _, part := range strings.Split(path, ".") {
		switch v := at.(type) {
		case map[string]any:
			at = v[part]
		case []any:
			if part != "0" {
				return nil
			}
			at = v[0]
		default:
			return nil
		}
	}
	return at
}

// nodeProcess is a node of the system with the upstream beside it.
type nodeProcess struct {
	name, zone, service string
	values              map[string]any
	outbound, ready     string
	listenLine          string // a further line of the section listen
	apiKey              string // of the tenant of the clients, if there are tenants
	up                  *upstream
	log                 *os.File
	cmd                 *exec.Cmd
	done                chan struct{}
}

// mesh is a small deployment.
type mesh struct {
	store   *store
	journal *journal
	nodes   []*nodeProcess
	tenants []any // of the configuration; nil for none
	root    string
}

// newMesh starts the store. bounds are added to those of the small site.
func newMesh() *mesh {
	m := &mesh{store: newStore(freeAddress()), journal: &journal{}}
	m.root, _ = filepath.Abs("../..")
	if r := os.Getenv("RIG3_ROOT"); r != "" {
		m.root = r
	}
	if _, err := os.Stat(filepath.Join(m.root, "target/rosemaryhatch-node")); err != nil {
		blocked("the node is not built: %v", err)
	}
	m.store.open()
	return m
}

// addNode adds a node with an upstream beside it, and starts neither.
func (m *mesh) addNode(name, zone, service string, bounds map[string]any) *nodeProcess {
	all := map[string]any{
		"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6,
		"loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "skew-max-ms": 5000, "retry-budget-ratio": 0.2,
		"budget-window-s": 10, "retry-budget-slack": 56, "recovery-s": 15,
	}
	for k, v := range bounds {
		all[k] = v
	}
	n := &nodeProcess{name: name, zone: zone, service: service, outbound: freeAddress(), ready: freeAddress()}
	control := freeAddress()
	n.up = &upstream{
		service: service, instance: "i-" + name, address: freeAddress(), control: control, zone: zone, slots: 6, born: time.Now().UnixMilli(),
		journal: m.journal, work: func(*http.Request) time.Duration { return 5 * time.Millisecond },
	}
	n.values = map[string]any{
		"node-name": name, "zone": zone, "ip": "127.0.0.1", "internal-ports": []any{freePort()}, "heartbeat-ms": beatInterval.Milliseconds(),
		"service": service, "app-addr": n.up.address, "bounds": all, "platform": map[string]any{"address": m.store.address},
		"listen-addrs": map[string]any{"outbound": n.outbound, "inbound": freeAddress(), "ready-addr": n.ready, "control": control},
		"limits":       map[string]any{"link-mbps": 1000.0, "memory-mb": 284, "cores": 1},
	}
	m.nodes = append(m.nodes, n)
	return n
}

// start starts the node's process with the command of the deploy file.
func (m *mesh) start(n *nodeProcess) {
	template, err := os.ReadFile(filepath.Join(m.root, "deploy/node.ini.tmpl"))
	if err != nil {
		blocked("%v", err)
	}
	path := filepath.Join(tempDir, n.name+".ini")
	text := fill(string(template), n.values)
	if n.listenLine != "" {
		text = strings.Replace(text, "[listen]\n", "[listen]\n"+n.listenLine+"\n", 1)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		blocked("%v", err)
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(tempDir, n.name+".log")); err != nil {
			blocked("%v", err)
		}
		toKill = append(toKill, n)
	}
	n.cmd = exec.Command(filepath.Join(m.root, "target/rosemaryhatch-node"), "--settings", path)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = m.root, n.log, n.log
	n.cmd.Env = append(os.Environ(), "ROSEMARYHATCH_NODE_FILE="+path)
	if err := n.cmd.Start(); err != nil {
		blocked("%v", err)
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { cmd.Wait(); close(done) }(n.cmd, n.done)
	record("start   node %s (%s, %s), upstream %s", n.name, n.zone, n.service, n.up.instance)
}

func (n *nodeProcess) signal(s syscall.Signal) {
	record("signal  %v to node %s", s, n.name)
	n.cmd.Process.Signal(s)
}

func (n *nodeProcess) kill() {
	if n.cmd != nil {
		n.cmd.Process.Kill()
		<-n.done
	}
}

func (n *nodeProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == 200
}

// startAll starts all nodes and upstreams and waits until the nodes are ready and serve each path.
func (m *mesh) startAll(paths ...string) {
	for _, n := range m.nodes {
		n.up.open()
		m.start(n)
		go n.up.beat()
	}
	until := time.Now().Add(15 * time.Second)
	for _, n := range m.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				blocked("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, p := range paths {
			for get(n, p, 2000).status != 200 {
				if time.Now().After(until) {
					blocked("node %s does not serve %s", n.name, p)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	record("ready   all nodes")
}

// route is a route of the operator's configuration.
type route struct {
	Name          string `json:"name"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	TimeoutMs     int    `json:"timeout-ms"`
	TargetLatency int    `json:"target-latency-ms"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max-attempts"`
}

const host = "ficu95.example"

// configure writes a configuration as the operator and returns when it was confirmed.
func (m *mesh) configure(version int, services []string, routes []route) time.Time {
	value := configValue(version, services, routes, m.tenants)
	revision := m.store.operatorPut("op/config", value)
	record("operator writes version %08x of %d bytes, confirmed at revision %d", version, len(value), revision)
	return time.Now()
}

// configValue returns the operator's item for a configuration.
func configValue(version int, services []string, routes []route, tenants []any) []byte {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false})
	}
	config := map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list,
		"limits":        map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"virtual-hosts": []any{map[string]any{"host": host, "paths": routes}},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	value, err := json.Marshal(config)
	if err != nil {
		blocked("%v", err)
	}
	return value
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 when the connection ended without an answer
	body   string
	seal   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no answer after %.3f s (%v)", a.id, a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("%s: %d after %.3f s: %.80s", a.id, a.status, a.took.Seconds(), a.body)
}

var (
	idMu   sync.Mutex
	lastID int
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("9c41%04x%08x", lastID, os.Getpid())
}

func get(n *nodeProcess, path string, deadlineMs int) answer {
	return send(n, "GET", path, deadlineMs, "")
}

// send sends a request on a connection of its own and waits for the answer, half a second beyond its time.
func send(n *nodeProcess, method, path string, deadlineMs int, body string) answer {
	return sendID(n, method, path, deadlineMs, body, newID())
}

func sendID(n *nodeProcess, method, path string, deadlineMs int, body, id string) answer {
	a := answer{id: id, sent: time.Now()}
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+n.outbound+path, in)
	if err != nil {
		blocked("%v", err)
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMs))
	if n.apiKey != "" {
		r.Header.Set("X-Api-Key", n.apiKey)
	}
	client := &http.Client{Timeout: time.Duration(deadlineMs)*time.Millisecond + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	record("send    %s to node %s: %s %s, %d ms", id, n.name, method, path, deadlineMs)
	out, err := client.Do(r)
	if err == nil {
		defer out.Body.Close()
		var text []byte
		text, err = io.ReadAll(out.Body)
		a.status, a.body, a.seal = out.StatusCode, string(text), out.Header.Get("Server-Seal")
	}
	a.took, a.err = time.Since(a.sent), err
	if err != nil {
		a.status = 0
	}
	record("answer  %s", a)
	return a
}
