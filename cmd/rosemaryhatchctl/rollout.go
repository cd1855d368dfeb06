package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/rosemaryhatch/rosemaryhatch/operator"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

func addRolloutCommands(app *kingpin.Application, f *flags) {
	group := app.Command("rollout", "Move the traffic of a service to upstreams of another version.")
	start := group.Command("start", "Order a roll-out.")
	start.Arg("service", "Service whose traffic is moved.").Required().StringVar(&f.service)
	start.Arg("software", "Version that its upstreams state in their registrations.").Required().StringVar(&f.software)
	start.Flag("duration", "Time in which a good version is to have all traffic.").Default("1m").DurationVar(&f.duration)
	watch := group.Command("watch", "Print each change of a roll-out until it has ended.")
	watch.Arg("service", "Service whose traffic is moved.").Required().StringVar(&f.service)
	watch.Flag("timeout", "Maximum time to wait.").Default("10m").DurationVar(&f.timeout)
	status := group.Command("status", "Print the order and the status of a roll-out.")
	status.Arg("service", "Service whose traffic is moved.").Required().StringVar(&f.service)
	abort := group.Command("abort", "Withdraw the order of a roll-out, which is then rolled back.")
	abort.Arg("service", "Service whose traffic is moved.").Required().StringVar(&f.service)
}

// rollouts returns the location of the orders and the status of roll-outs in the store.
func (f *flags) rollouts() platform.Rollouts {
	if f.mode == settings.ModeHosted {
		return hosted.Rollouts()
	}
	return platform.OwnRollouts()
}

func (c *command) rollout(ctx context.Context, name string) operator.Outcome {
	switch name {
	case "rollout start":
		order := platform.RolloutOrder{Service: c.service, Version: c.software, Duration: c.duration}
		return c.report(c.runner.StartRollout(ctx, c.rollouts(), order))
	case "rollout abort":
		return c.report(c.runner.AbortRollout(ctx, c.rollouts(), c.service))
	case "rollout watch":
		return c.report(c.runner.WatchRollout(ctx, c.rollouts(), c.service, c.timeout, c.out.WriteRollout))
	default:
		info, err := c.runner.RolloutStatus(ctx, c.rollouts(), c.service)
		if err != nil {
			return c.fail(operator.Failed, err)
		}
		c.out.WriteRollout(info)
		return operator.Done
	}
}
