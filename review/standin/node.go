package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"net/http"
)

// node is one process of the project, beside one upstream.
type node struct {
	name, zone, service, ip string
	memoryMB                int
	settings                string
	cmd                     *exec.Cmd
	exited                  chan struct{}
	startedAt               time.Time
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeSettings fills in the project's template as the platform does.
func (n *node) writeSettings(r *run) error {
	text, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node-name": n.name, "zone": n.zone, "service": n.service, "app-addr": n.ip + ":8145", "heartbeat-ms": "1500", "ip": n.ip,
		"listen-addrs.outbound": n.ip + ":8147", "listen-addrs.inbound": n.ip + ":8146", "listen-addrs.ready-addr": n.ip + ":8141",
		"listen-addrs.control": n.ip + ":8144", "internal-ports.0": "7380", "internal-ports.1": "7395", "platform.address": r.store.address,
		"bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-slack": "56", "limits.memory-mb": fmt.Sprint(n.memoryMB), "limits.cores": "1",
	}
	var missing string
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		value, ok := values[strings.Trim(p, "{}")]
		if !ok {
			missing = p
		}
		return value
	})
	if missing != "" {
		return fmt.Errorf("the template has the placeholder %s, which this stand-in does not know", missing)
	}
	n.settings = filepath.Join(r.dir, n.name+".ini")
	return os.WriteFile(n.settings, []byte(filled), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(r *run) error {
	if err := n.writeSettings(r); err != nil {
		return err
	}
	n.cmd = exec.Command("target/rosemaryhatch-node", "--settings", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C", "ROSEMARYHATCH_NODE_FILE=" + n.settings}
	log, err := os.OpenFile(filepath.Join(r.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.startedAt = time.Now()
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		cmd.Wait()
		close(exited)
	}()
	r.note("process of %s started", n.name)
	return nil
}

func (n *node) signal(r *run, s syscall.Signal) {
	r.note("%s gets %s", n.name, map[syscall.Signal]string{syscall.SIGTERM: "SIGTERM", syscall.SIGKILL: "SIGKILL"}[s])
	n.cmd.Process.Signal(s)
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// ready asks the node whether it is ready, as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ip + ":8141/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process in bytes, 0 when it is not known.
func (n *node) memory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb int64
			fmt.Sscan(rest, &kb)
			return kb << 10
		}
	}
	return 0
}
