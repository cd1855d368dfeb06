package main

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for changes without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file after each signal and each change of the file, and passes the settings to
// apply, until ctx is cancelled. Invalid settings are logged and not applied.
func watchSettings(ctx context.Context, path string, reloadSignals <-chan os.Signal, logger log.Logger, apply func(settings.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastStamp := statFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
			if statFile(path) == lastStamp {
				continue
			}
		}
		lastStamp = statFile(path)
		s, err := settings.Load(path)
		if err != nil {
			level.Error(logger).Log("msg", "changed settings refused", "err", err)
			continue
		}
		apply(s)
	}
}

// fileStamp holds the attributes of a file that are compared to detect a change.
type fileStamp struct {
	modified time.Time
	size     int64
}

// statFile returns the stamp of a file, or the zero stamp if the file cannot be accessed.
func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
