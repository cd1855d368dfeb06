package main

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// settingsInterval is how often the settings file is looked at for a change that no signal announces.
const settingsInterval = 2 * time.Second

// watchSettings loads the settings file again after a signal, and when the file has changed, until the context ends.
// Settings that are not valid are logged, and those before stay in force.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, logger log.Logger, apply func(settings.Settings)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := versionOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if versionOf(path) == seen {
				continue
			}
		}
		seen = versionOf(path)
		s, err := settings.Load(path)
		if err != nil {
			level.Error(logger).Log("msg", "changed settings refused", "err", err)
			continue
		}
		apply(s)
	}
}

// fileVersion tells two contents of a file apart.
type fileVersion struct {
	modified time.Time
	size     int64
}

// versionOf returns the zero version for a file that cannot be read.
func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
