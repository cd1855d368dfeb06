package telemetry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bucketBounds are the upper bounds of the buckets. They range from a reducer event, which takes a few microseconds, to
// the longest call.
var bucketBounds = []time.Duration{
	time.Microsecond, 4 * time.Microsecond, 16 * time.Microsecond, 64 * time.Microsecond, 256 * time.Microsecond,
	time.Millisecond, 4 * time.Millisecond, 16 * time.Millisecond, 64 * time.Millisecond, 256 * time.Millisecond,
	time.Second, 4 * time.Second, 16 * time.Second, 64 * time.Second,
}

// histogram counts durations in fixed buckets. Unlike those of the sampled histograms of go-metrics, its buckets can be
// summed over nodes, and observe takes no lock.
type histogram struct {
	buckets []metrics.Counter // cumulative: each counts all durations up to its bound, inclusive
	count   metrics.Counter
	sum     nanosecondCounter
}

// nanosecondCounter counts nanoseconds. WritePrometheus writes it in seconds.
type nanosecondCounter struct{ metrics.Counter }

// newHistogram returns a histogram and registers its counters. The labels are empty or end with a comma.
func newHistogram(r metrics.Registry, family, labels string) *histogram {
	h := &histogram{sum: nanosecondCounter{metrics.NewCounter()}}
	for _, bound := range bucketBounds {
		le := strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)
		h.buckets = append(h.buckets, metrics.GetOrRegisterCounter(fmt.Sprintf("%s_bucket{%sle=%q}", family, labels, le), r))
	}
	h.count = metrics.GetOrRegisterCounter(fmt.Sprintf("%s_bucket{%sle=%q}", family, labels, "+Inf"), r)
	suffix := ""
	if labels != "" {
		suffix = "{" + labels[:len(labels)-1] + "}"
	}
	// Registering fails only if the name is taken, and each histogram has its own names.
	_ = r.Register(family+"_count"+suffix, h.count)
	_ = r.Register(family+"_sum"+suffix, h.sum)
	return h
}

func (h *histogram) observe(d time.Duration) {
	for i := len(bucketBounds) - 1; i >= 0 && d <= bucketBounds[i]; i-- {
		h.buckets[i].Inc(1)
	}
	h.sum.Inc(int64(d))
	h.count.Inc(1)
}
