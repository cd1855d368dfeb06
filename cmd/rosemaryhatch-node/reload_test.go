package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const valid = `[node]
id = n1
zone = z
system = s
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operator = 127.0.0.1:3
register = 127.0.0.1:4
[platform]
address = 127.0.0.1:5
[retries]
slack = 7
`

// Guards against a change of the settings that is not taken over, with a signal or without, and against a file that is
// not valid and replaces the settings in force.
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(valid)
	ctx, cancel := context.WithCancel(context.Background())
	hangups, applied, ended := make(chan os.Signal), make(chan settings.Settings), make(chan struct{})
	go func() {
		watchSettings(ctx, path, hangups, log.NewNopLogger(), func(s settings.Settings) { applied <- s })
		close(ended)
	}()
	hangups <- syscall.SIGHUP
	if s := <-applied; s.Retries.Slack != 7 {
		t.Errorf("slack is %d after a signal, expected 7", s.Retries.Slack)
	}
	write("[node")
	hangups <- syscall.SIGHUP // nothing is applied
	write(strings.Replace(valid, "slack = 7", "slack = 123", 1))
	select {
	case s := <-applied:
		if s.Retries.Slack != 123 {
			t.Errorf("slack is %d after a change, expected 123", s.Retries.Slack)
		}
	case <-time.After(time.Minute):
		t.Error("a change without a signal is not taken over")
	}
	cancel()
	<-ended
}
