package telemetry

import (
	"slices"
	"sync"

	"github.com/go-kit/log"
)

// logQueueSize limits the log lines that wait to be written.
const logQueueSize = 4096

// AsyncLogger writes log lines in its own goroutine, so that a slow writer never blocks the control thread. Lines that
// do not fit into its queue are dropped and counted.
type AsyncLogger struct {
	next      log.Logger
	onDropped func()
	lines     chan []any
	stop      chan struct{}
	stopped   chan struct{}
	once      sync.Once
}

// NewAsyncLogger returns a logger that passes lines to next, and starts its goroutine. It calls dropped for each
// dropped line.
func NewAsyncLogger(next log.Logger, onDropped func()) *AsyncLogger {
	l := &AsyncLogger{
		next: next, onDropped: onDropped, lines: make(chan []any, logQueueSize),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go l.write()
	return l
}

// Log implements log.Logger. It queues the line; after Close, it writes the line synchronously.
func (l *AsyncLogger) Log(keyvals ...any) error {
	select {
	case <-l.stopped:
		return l.next.Log(keyvals...)
	default:
	}
	select {
	case l.lines <- slices.Clone(keyvals):
	default:
		l.onDropped()
	}
	return nil
}

// Close writes the queued lines and stops the goroutine.
func (l *AsyncLogger) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.stopped
}

func (l *AsyncLogger) write() {
	defer close(l.stopped)
	for {
		select {
		case line := <-l.lines:
			_ = l.next.Log(line...) // an error of the log cannot be reported anywhere else
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
