package fleet

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// Guards against processes that are left running after Stop because they ignore SIGTERM.
func TestStopEndsStubbornProcesses(t *testing.T) {
	shell, err := exec.LookPath("sh")
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	p := Processes{Directory: directory}
	child, err := p.Start("stubborn", shell, "-c", `trap "" TERM; echo up; while :; do sleep 0.05; done`)
	if err != nil {
		t.Fatal(err)
	}
	for { // until the trap is set; the timeout of the test run bounds the loop
		if text, _ := os.ReadFile(directory + "/stubborn.log"); len(text) > 0 {
			break
		}
		if err := Sleep(context.Background(), 10*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	p.Stop()
	if err := syscall.Kill(child.cmd.Process.Pid, 0); err != syscall.ESRCH {
		t.Errorf("process %d still exists: %v", child.cmd.Process.Pid, err)
	}
}
