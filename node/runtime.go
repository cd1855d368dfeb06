package node

import (
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const (
	// heapReserve is the garbage that may gather beyond what the runtime allows by itself, which is as much as is in
	// use. A call allocates about 10 KB on each node, so that at 1,000 calls a second the garbage of a small heap
	// was collected several times a second.
	heapReserve = 64 << 20
	// reservePart is the part of the memory that the reserve takes of a process whose memory is bounded.
	reservePart = 48
	// memoryLimitPercent is the share of the memory from which on the runtime collects garbage as often as it takes;
	// the rest is for what the runtime does not count, such as received bytes that were not read.
	memoryLimitPercent = 60
)

// reserve counts as heap in use, which makes the next collection wait for as much garbage. It is never written to
// and therefore takes no memory.
var reserve []byte

// TuneRuntime sets up the Go runtime for a process that runs one node. The bound of threads matters: with one for each
// of 10 cores the runtime woke 10 threads for each call that crossed a node, because it looks for an idle core whenever a
// goroutine becomes ready. The environment variables GOMAXPROCS and
// GOGC, where they are set, keep their meaning.
func TuneRuntime(s settings.Runtime) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(s.Processors, runtime.GOMAXPROCS(0)))
	}
	if os.Getenv("GOGC") != "" {
		return
	}
	if s.MemoryBytes == 0 {
		reserve = make([]byte, heapReserve)
		return
	}
	reserve = make([]byte, min(heapReserve, s.MemoryBytes/reservePart))
	debug.SetMemoryLimit(s.MemoryBytes * memoryLimitPercent / 100)
}
