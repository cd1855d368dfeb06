package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// nodeProgram is where the build of the deploy file puts the node.
const nodeProgram = "target/rosemaryhatch-node"

// settingsText is deploy/node.ini.tmpl filled in for a machine of a small site.
const settingsText = `[node]
id = %[1]s
zone = %[2]s
system = rosemaryhatch

[backend]
service = %[3]s
address = %[4]s
heartbeat = 1500ms

[listen]
callers = %[5]s
peers = %[6]s
operator = %[7]s
register = %[8]s

[platform]
address = %[9]s
mode = hosted

[limits]
calls = 1024
body_bytes = 33554432
queued_bytes = 16777216
records = 20000

[retries]
ratio = 0.2
slack = %[10]d

[instance]
link_mbps = 1000.0

[runtime]
memory_mb = %[11]d
processors = 1

[shutdown]
timeout = 5s
`

// site holds what differs between the machines of the two small sites.
type site struct{ slots, memoryMB, slack int }

var (
	ljosaskodunHQ = site{slots: 12, memoryMB: 134, slack: 62}
	hmlMesh       = site{slots: 6, memoryMB: 284, slack: 56}
)

// node is a machine: a process of rosemaryhatch-node and the addresses that it serves.
type node struct {
	name, zone, service                       string
	callers, peers, ready, control, appServer string
	door                                      *door
	settings, log                             string
	process                                   *exec.Cmd
	ended                                     chan struct{}
}

// Ports of the machines lie below the ports that the kernel draws for connections, so that none of those takes one.
const (
	firstPort = 15000
	portRange = 15000
)

// freeAddress returns an address of a machine, each of which has a loopback address of its own, with a port that is free now.
func freeAddress(machine int) (string, error) {
	var lastErr error
	for range 50 {
		address := fmt.Sprintf("127.0.%d.%d:%d", 10+machine/200, 1+machine%200, firstPort+rand.N(portRange))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		lastErr = err
	}
	return "", lastErr
}

// machines counts the machines of this process.
var machines int

// newNode draws the addresses of a machine, writes its settings into dir and does not start it.
func newNode(dir, name, zone, service string, at site, s *store) (*node, error) {
	n := &node{name: name, zone: zone, service: service, settings: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log")}
	machines++
	for _, address := range []*string{&n.callers, &n.peers, &n.ready, &n.control, &n.appServer} {
		var err error
		if *address, err = freeAddress(machines); err != nil {
			return nil, err
		}
	}
	var err error
	if n.door, err = s.open(name); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, name, zone, service, n.appServer, n.callers, n.peers, n.ready, n.control, n.door.address, at.slack, at.memoryMB)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(nodeProgram, "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	// The processes end with this one, however it ends.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	process, ended := n.process, make(chan struct{})
	n.ended = ended
	go func() {
		_ = process.Wait() // the status of a process that was killed says nothing
		close(ended)
	}()
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill() // fails only if it has ended
	<-n.ended
}

// isReady asks GET /readyz.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the nodes did not become ready")

// awaitReady waits until all nodes are ready.
func awaitReady(nodes []*node, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
	}
	return errNotReady
}
