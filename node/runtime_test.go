package node

import (
	"bytes"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const testProcessors = 2

// freshProcess is set in the environment of a process that runs one test only.
const freshProcess = "ROSEMARYHATCH_TEST_FRESH_PROCESS"

// residentBytes returns the resident set size of the process in bytes.
func residentBytes(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		t.Skip("no /proc/self/statm on this platform")
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		t.Fatal(err)
	}
	return pages * os.Getpagesize()
}

// Guards against overriding GOMAXPROCS and GOGC of the environment, against a ballast that does not delay garbage
// collection, and against a ballast that takes physical memory, of which a node may use 256 MB.
//
// It runs in a process of its own: memory that other tests have used is cleared when it is allocated again, and then counts
// as physical.
func TestTuneRuntime(t *testing.T) {
	if os.Getenv(freshProcess) == "" {
		command := exec.Command(os.Args[0], "-test.run=^TestTuneRuntime$", "-test.v")
		command.Env = append(os.Environ(), freshProcess+"=1")
		if output, err := command.CombinedOutput(); err != nil || !bytes.Contains(output, []byte("PASS: TestTuneRuntime")) {
			t.Fatalf("%v\n%s", err, output)
		}
		return
	}
	originalMaxProcs := runtime.GOMAXPROCS(testProcessors + 1)
	defer func() {
		runtime.GOMAXPROCS(originalMaxProcs)
		heapBallast = nil
		debug.FreeOSMemory()
	}()
	t.Setenv("GOMAXPROCS", strconv.Itoa(testProcessors+1))
	t.Setenv("GOGC", "100")
	TuneRuntime(settings.Runtime{Processors: testProcessors})
	if got := runtime.GOMAXPROCS(0); got != testProcessors+1 || heapBallast != nil {
		t.Errorf("GOMAXPROCS is %d and the ballast %d bytes, expected the values of the environment", got, len(heapBallast))
	}
	t.Setenv("GOMAXPROCS", "")
	t.Setenv("GOGC", "")
	debug.FreeOSMemory()
	initial := residentBytes(t)
	TuneRuntime(settings.Runtime{Processors: testProcessors})
	runtime.GC()
	if got := runtime.GOMAXPROCS(0); got != testProcessors {
		t.Errorf("GOMAXPROCS is %d, expected %d", got, testProcessors)
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	if stats.NextGC < 2*maxBallastBytes {
		t.Errorf("the next garbage collection is at %d bytes, expected at least %d", stats.NextGC, 2*maxBallastBytes)
	}
	if growth := residentBytes(t) - initial; growth > maxBallastBytes/4 {
		t.Errorf("the ballast takes %d bytes of physical memory", growth)
	}
	first := &heapBallast[0]
	TuneRuntime(settings.Runtime{Processors: testProcessors})
	if &heapBallast[0] != first {
		t.Error("reloaded settings of the same size allocate the ballast again")
	}
}
