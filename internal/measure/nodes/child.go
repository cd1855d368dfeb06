package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// activation tells when a version became active on a node.
type activation struct {
	node    string
	version uint64
	at      time.Time
}

// child is a process that runs nodes of one zone.
type child struct {
	options hostOptions
	command *exec.Cmd
	stdin   io.WriteCloser // kept open: the child stops when it is closed
	ended   chan struct{}  // closed when the output of the process has ended
}

// startChild runs this program as a child process that hosts nodes, and sends the activations it reports to a
// channel.
func startChild(o hostOptions, to chan<- activation) *child {
	program := o.program
	if program == "" {
		self, err := os.Executable()
		must(err)
		program = self
	}
	args := []string{"host", "--zone", fmt.Sprint(o.zone), "--first", fmt.Sprint(o.first), "--count", fmt.Sprint(o.count), "--platform", o.platform, "--gap", fmt.Sprint(o.startInterval)}
	if o.backend != "" {
		args = append(args, "--backend", o.backend)
	}
	if o.register {
		args = append(args, "--register")
	}
	if o.linkMbps > 0 {
		args = append(args, "--link", fmt.Sprint(o.linkMbps))
	}
	if o.observed {
		args = append(args, "--observed")
	}
	var err error
	c := &child{options: o, command: exec.Command(program, args...), ended: make(chan struct{})}
	c.command.Stderr = os.Stderr
	c.stdin, err = c.command.StdinPipe()
	must(err)
	out, err := c.command.StdoutPipe()
	must(err)
	must(c.command.Start())
	go c.readActivations(out, to)
	return c
}

func (c *child) readActivations(out io.Reader, to chan<- activation) {
	defer close(c.ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var a activation
		var at int64
		if n, _ := fmt.Sscan(lines.Text(), &a.node, &a.version, &at); n == 3 {
			a.at = time.Unix(0, at)
			to <- a
		}
	}
}

// kill ends the process with SIGKILL, so that its nodes cannot announce their end, as in a crash, and waits for it.
func (c *child) kill() {
	_ = c.command.Process.Kill() // fails only if the process has already ended
	<-c.ended
	_ = c.command.Wait() // its error reports the kill
}

// usage holds the resources that a process has used.
type usage struct {
	processor    time.Duration // user and system together
	user, system time.Duration
	resident     int64 // bytes
}

const clockTick = 10 * time.Millisecond // unit of processor times in /proc on all platforms that Go supports

// usage returns the processor time and the resident memory of the process.
func (c *child) usage() usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.command.Process.Pid))
	must(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	must(err)
	system, err := strconv.Atoi(fields[12])
	must(err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	must(err)
	return usage{
		processor: time.Duration(user+system) * clockTick, user: time.Duration(user) * clockTick, system: time.Duration(system) * clockTick,
		resident: pages * int64(os.Getpagesize()),
	}
}

// must ends the program on an error, because a measurement with a broken setup has no result.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "nodes:", err)
		os.Exit(1)
	}
}
