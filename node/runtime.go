package node

import (
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const (
	// maxBallastBytes is the garbage that may accumulate beyond the runtime's default, which is the size of the live
	// heap. A call allocates about 10 KB on each node, so that without the ballast a small heap is collected several
	// times a second at 1,000 calls a second.
	maxBallastBytes = 64 << 20
	// ballastDivisor limits the ballast to this part of the memory if the memory of the process is bounded. With 48, a node of
	// 184 MiB took 2.7 MB more than the build before it, where 2 MB are allowed.
	ballastDivisor = 64
	// memoryLimitPercent is the share of the process's memory that becomes the runtime's soft memory limit. The rest is
	// for memory that the runtime does not count, such as received bytes that were not read yet.
	memoryLimitPercent = 60
)

// heapBallast counts as live heap, so that each garbage collection waits until the same amount of additional garbage
// has accumulated. It is never written to and therefore takes no physical memory.
var heapBallast []byte

// TuneRuntime configures the Go runtime for a process that runs one node. It limits GOMAXPROCS because the runtime
// looks for an idle processor whenever a goroutine becomes runnable: with GOMAXPROCS at 10 on 10 cores it woke 10
// threads for each call that crossed a node. The environment variables GOMAXPROCS and GOGC take precedence.
func TuneRuntime(s settings.Runtime) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(s.Processors, runtime.GOMAXPROCS(0)))
	}
	if os.Getenv("GOGC") != "" {
		return
	}
	if s.MemoryBytes == 0 {
		setBallast(maxBallastBytes)
		return
	}
	setBallast(min(maxBallastBytes, s.MemoryBytes/ballastDivisor))
	debug.SetMemoryLimit(s.MemoryBytes * memoryLimitPercent / 100)
}

// setBallast allocates the ballast, unless it has the size already. A ballast that is allocated later, when settings are
// reloaded, may take physical memory: the runtime clears memory that it has used before.
func setBallast(size int64) {
	if int64(len(heapBallast)) != size {
		heapBallast = make([]byte, size)
	}
}
