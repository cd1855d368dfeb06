package telemetry

import (
	"slices"
	"sync"

	"github.com/go-kit/log"
)

// logQueueSize bounds the lines that wait for the writer of the log.
const logQueueSize = 4096

// AsyncLogger writes log lines in a goroutine of its own, so that a slow writer never holds up the control
// thread. When it falls behind, lines are dropped and counted.
type AsyncLogger struct {
	next    log.Logger
	dropped func()
	lines   chan []any
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// NewAsyncLogger returns a logger in front of another one.
func NewAsyncLogger(next log.Logger, dropped func()) *AsyncLogger {
	l := &AsyncLogger{
		next: next, dropped: dropped, lines: make(chan []any, logQueueSize),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go l.write()
	return l
}

// Log implements log.Logger. After Close lines are written at once.
func (l *AsyncLogger) Log(keyvals ...any) error {
	select {
	case <-l.stopped:
		return l.next.Log(keyvals...)
	default:
	}
	select {
	case l.lines <- slices.Clone(keyvals):
	default:
		l.dropped()
	}
	return nil
}

// Close writes the lines that wait and ends the goroutine.
func (l *AsyncLogger) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.stopped
}

func (l *AsyncLogger) write() {
	defer close(l.stopped)
	for {
		select {
		case line := <-l.lines:
			_ = l.next.Log(line...) // there is no other place to report a log that cannot be written
		case <-l.stop:
			l.flush()
			return
		}
	}
}

func (l *AsyncLogger) flush() {
	for {
		select {
		case line := <-l.lines:
			_ = l.next.Log(line...)
		default:
			return
		}
	}
}
