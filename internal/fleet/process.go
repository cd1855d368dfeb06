// Package fleet starts, signals and stops the processes of a small system on loopback addresses, for the demo, tests and
// measurements.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"
)

const (
	// stopGracePeriod is how long Stop waits for all processes to end before it kills the rest.
	stopGracePeriod = 5 * time.Second
	// listenTimeout bounds the wait for a listener, listenPollInterval is the pause between two attempts to connect.
	listenTimeout      = 10 * time.Second
	listenPollInterval = 50 * time.Millisecond
)

// Process is a child process. It stays valid after the process has ended.
type Process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed once the process has ended
	err    error         // result of cmd.Wait, valid once exited is closed
}

// Processes starts child processes and stops them together. Their logs go into Directory. It is not safe for concurrent
// use.
type Processes struct {
	Directory string
	children  []*Process
}

// launchQueue returns a channel of functions to run on one thread, which lives as long as this process. The kernel kills a
// child when the thread that started it ends (Pdeathsig), and threads that run other goroutines may end at any time.
var launchQueue = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for launch := range queue {
			launch()
		}
	}()
	return queue
})

// startCommand starts a command on the thread that serves launchQueue.
func startCommand(cmd *exec.Cmd) error {
	started := make(chan error, 1)
	launchQueue() <- func() { started <- cmd.Start() }
	return <-started
}

// Start starts a program and appends its output to the file name.log. The kernel kills the child when this process ends, so
// that no child is left behind if this process is killed.
func (p *Processes) Start(name, program string, args ...string) (*Process, error) {
	path := filepath.Join(p.Directory, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, oops.In("fleet").Wrap(err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = childAttributes()
	if err := startCommand(cmd); err != nil {
		return nil, oops.In("fleet").Wrapf(err, "%s cannot be started", name)
	}
	child := &Process{name: name, cmd: cmd, exited: make(chan struct{})}
	p.children = append(p.children, child)
	go func() {
		child.err = cmd.Wait()
		close(child.exited)
	}()
	return child, nil
}

// childAttributes returns attributes that put a child into a process group of its own, so that an interrupt at the
// terminal reaches only this process, which then stops its children.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// Stop sends SIGTERM to all processes, waits for them up to stopGracePeriod, and kills those that are left.
func (p *Processes) Stop() {
	for _, child := range p.children {
		child.Signal(syscall.SIGTERM)
	}
	grace := time.After(stopGracePeriod)
	for _, child := range p.children {
		select {
		case <-child.exited:
			continue
		case <-grace:
		}
		break
	}
	for _, child := range p.children {
		child.Signal(syscall.SIGKILL)
		<-child.exited
	}
}

// Signal sends a signal to the process, or does nothing if it has ended. os.Process rejects signals to a process that was
// already waited for, so another process that reuses the id is never signalled.
func (c *Process) Signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// ID returns the process ID.
func (c *Process) ID() int { return c.cmd.Process.Pid }

// Wait waits until the process ends, at most for bound. It returns nil for exit code 0 and otherwise an error, also after
// the bound.
func (c *Process) Wait(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	select {
	case <-c.exited:
		return c.err
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended after %v: %w", c.name, bound, ctx.Err())
	}
}

// HasEnded reports whether the process has ended.
func (c *Process) HasEnded() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// RunTool runs a program until it ends and returns its standard output. The error contains both outputs. When the context
// ends, the program and its children are killed.
func RunTool(ctx context.Context, program string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.SysProcAttr = childAttributes()
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) } // the process group holds only the program and its children
	var output, errorOutput bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &errorOutput
	err := startCommand(cmd)
	if err == nil {
		err = cmd.Wait()
	}
	if err != nil {
		return output.Bytes(), oops.In("fleet").Wrapf(err, "%s %v: %s%s", filepath.Base(program), args, errorOutput.String(), output.String())
	}
	return output.Bytes(), nil
}

// AwaitListener waits until an address accepts connections. It returns an error after listenTimeout.
func AwaitListener(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		if Sleep(ctx, listenPollInterval) != nil {
			return oops.In("fleet").Wrapf(err, "nothing listens on %s after %v", address, listenTimeout)
		}
	}
}

// Sleep waits for d. It returns the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FreeAddresses returns loopback addresses with free ports. All of them are open at the same time, so that they differ.
func FreeAddresses(count int) ([]string, error) {
	address := nextLoopbackAddress()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, oops.In("fleet").Wrap(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Listen opens a listener at a free loopback address. Use it instead of FreeAddresses for listeners of this process: a
// port of FreeAddresses, though closed, stays in use while another goroutine forks a child, which holds the socket until
// its exec.
func Listen() (net.Listener, error) { return net.Listen("tcp", nextLoopbackAddress()) }

// nextLoopbackAddress returns a loopback IP address that no other process uses, with port 0. On 127.0.0.1, the kernel could
// assign the port of a listener to an outgoing connection while the listening process is restarted.
func nextLoopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+hostCount.Add(1)%250, pid>>8&0xff, 1+pid%250)
}

// hostCount counts the addresses that nextLoopbackAddress has returned.
var hostCount atomic.Uint32
