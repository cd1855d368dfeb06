package main

import (
	"context"
	"os"
	"slices"
	"syscall"
	"testing"

	"github.com/go-kit/log"
)

// Guards against a repeated SIGTERM that ends a graceful shutdown, so that calls in progress get no answer.
func TestRepeatedStopSignals(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
		want    []string
	}{
		{"SIGTERM again and again", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, []string{"shutdown"}},
		{"SIGTERM after an interrupt", []os.Signal{syscall.SIGINT, syscall.SIGTERM}, []string{"shutdown"}},
		{"an interrupt again", []os.Signal{syscall.SIGINT, syscall.SIGINT}, []string{"shutdown", "end"}},
		{"an interrupt after SIGTERM", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}, []string{"shutdown", "end"}},
	} {
		var got []string
		ctx, cancel := context.WithCancel(t.Context())
		signals, ended := make(chan os.Signal), make(chan struct{})
		go func() {
			defer close(ended)
			followStopSignals(ctx, signals, log.NewNopLogger(), func() { got = append(got, "shutdown") }, func() { got = append(got, "end") })
		}()
		for _, s := range c.signals {
			signals <- s
		}
		cancel()
		<-ended
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, expected %v", c.name, got, c.want)
		}
	}
}
