package main

import "testing"

// Guards against orders that are written although they cannot be carried out or one runs, and against commands on orders
// that the platform's operator writes.
func TestRolloutCommands(t *testing.T) {
	c := newTool(t)
	c.run(1, "there is no order", "rollout", "abort", "desk")
	c.run(2, "--duration is 0s", "rollout", "start", "desk", "v2", "--duration", "0s")
	c.run(0, "", "rollout", "start", "desk", "v2", "--duration", "12s")
	c.run(0, "service desk, ordered v2 in 12s", "rollout", "status", "desk")
	c.run(5, "has not ended", "rollout", "watch", "desk", "--timeout", "300ms")
	c.run(0, "", "rollout", "abort", "desk")
	c.run(0, "service desk\n", "rollout", "status", "desk")
	c.run(2, "orders are written by the platform's operator", "--mode", "hosted", "rollout", "start", "desk", "v2")
}
