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

const validSettings = `[node]
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

// Guards against changed settings that are not applied, after SIGHUP or without a signal, and against an invalid file
// that replaces the active settings.
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	ctx, cancel := context.WithCancel(context.Background())
	reloadSignals, applied, ended := make(chan os.Signal), make(chan settings.Settings), make(chan struct{})
	go func() {
		watchSettings(ctx, path, reloadSignals, log.NewNopLogger(), func(s settings.Settings) { applied <- s })
		close(ended)
	}()
	reloadSignals <- syscall.SIGHUP
	if s := <-applied; s.Retries.Slack != 7 {
		t.Errorf("slack is %d after a signal, expected 7", s.Retries.Slack)
	}
	write("[node")
	reloadSignals <- syscall.SIGHUP // the invalid file must not be applied
	write(strings.Replace(validSettings, "slack = 7", "slack = 123", 1))
	select {
	case s := <-applied:
		if s.Retries.Slack != 123 {
			t.Errorf("slack is %d after a change, expected 123", s.Retries.Slack)
		}
	case <-time.After(time.Minute):
		t.Error("a change without a signal was not applied within a minute")
	}
	cancel()
	<-ended
}
