package telemetry

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the text that WritePrometheus writes.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// sample is one sample line of the text format.
type sample struct {
	name, family, kind, value string
	sortKey                   string  // name without the bucket bound
	bound                     float64 // upper bound of a bucket
}

// WritePrometheus writes all metrics in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) error {
	var samples []sample
	m.registry.Each(func(name string, metric any) {
		if s, ok := newSample(name, metric); ok {
			samples = append(samples, s)
		}
	})
	sort.Slice(samples, func(i, j int) bool { return samples[i].less(samples[j]) })
	family := ""
	for _, s := range samples {
		if s.family != family {
			family = s.family
			if _, err := fmt.Fprintf(w, "# TYPE %s %s\n", s.family, s.kind); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", s.name, s.value); err != nil {
			return err
		}
	}
	return nil
}

// less reports whether s comes before other. Samples are ordered by family, then name; buckets by their bounds.
func (s sample) less(other sample) bool {
	switch {
	case s.family != other.family:
		return s.family < other.family
	case s.sortKey != other.sortKey:
		return s.sortKey < other.sortKey
	default:
		return s.bound < other.bound
	}
}

// newSample returns the sample of a metric in the registry. It returns false for metrics of an unknown type.
func newSample(name string, metric any) (sample, bool) {
	s := sample{name: name, sortKey: name}
	s.family, _, _ = strings.Cut(name, "{")
	switch metric := metric.(type) {
	case nanosecondCounter:
		s.kind = "counter"
		s.value = strconv.FormatFloat(float64(metric.Count())/1e9, 'g', -1, 64)
	case metrics.Counter:
		s.kind, s.value = "counter", strconv.FormatInt(metric.Count(), 10)
	case metrics.Gauge:
		s.kind, s.value = "gauge", strconv.FormatInt(metric.Value(), 10)
	default:
		return s, false
	}
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, ok := strings.CutSuffix(s.family, suffix); ok {
			s.family, s.kind = base, "histogram"
		}
	}
	if before, bound, ok := strings.Cut(name, `le="`); ok {
		s.sortKey = before
		s.bound = math.Inf(1)
		if value, err := strconv.ParseFloat(strings.TrimSuffix(bound, `"}`), 64); err == nil {
			s.bound = value
		}
	}
	return s, true
}
