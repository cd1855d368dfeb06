package telemetry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Metric families. A name in the registry consists of the family and the labels, for example
// rosemaryhatch_members{state="alive"}.
const (
	familyCalls        = "rosemaryhatch_calls_total"
	familyAttempts     = "rosemaryhatch_call_attempts_total"
	familyRetries      = "rosemaryhatch_call_retries_total"
	familyNested       = "rosemaryhatch_nested_calls_total"
	familyWorkspaces   = "rosemaryhatch_workspace_calls_total"
	familyQueueWait    = "rosemaryhatch_queue_seconds"
	familyLatency      = "rosemaryhatch_call_seconds"
	familyRefusals     = "rosemaryhatch_refusals_total"
	familyVersion      = "rosemaryhatch_config_version"
	familyAge          = "rosemaryhatch_config_age_seconds"
	familyRejected     = "rosemaryhatch_config_rejected"
	familyUnsupported  = "rosemaryhatch_config_unsupported_routes"
	familyStoreEra     = "rosemaryhatch_platform_era"
	familyInvalid      = "rosemaryhatch_platform_invalid_entries"
	familyMembers      = "rosemaryhatch_members"
	familyPeerBytes    = "rosemaryhatch_peer_bytes_total"
	familyMessageBytes = "rosemaryhatch_peer_message_bytes_total"
	familyMessages     = "rosemaryhatch_peer_messages_total"
	familyPlatform     = "rosemaryhatch_platform_calls_total"
	familyEventTime    = "rosemaryhatch_reducer_event_seconds"
	familyQueueLength  = "rosemaryhatch_event_queue_length"
	familyBySpeed      = "rosemaryhatch_balance_by_speed"
	familySpeedRatio   = "rosemaryhatch_speed_ratio_percent"
	familyLimit        = "rosemaryhatch_backend_limit"
	familyResets       = "rosemaryhatch_backend_resets"
	familyHung         = "rosemaryhatch_hung_connections"
	familyLogDropped   = "rosemaryhatch_log_lines_dropped_total"
	familyRolloutShare = "rosemaryhatch_rollout_share_percent"
	familyRolloutCalls = "rosemaryhatch_rollout_responses"
	familyRolloutEnds  = "rosemaryhatch_rollouts_total"
	familySpanFailures = "rosemaryhatch_span_export_failures_total"
)

// Array sizes for the labels of calls. The reducer has fewer outcomes and reasons than this.
const (
	maxOutcomes = 8
	maxReasons  = 64
)

// Metrics holds the metrics of one node. Its methods are safe for concurrent use and do not block, so that the control
// thread can call them.
type Metrics struct {
	registry    metrics.Registry
	calls       [tables.Priorities][maxOutcomes][maxReasons]atomic.Pointer[metrics.Counter]
	nested      [maxOutcomes]atomic.Pointer[metrics.Counter]
	workspaces  sync.Map // metrics.Counter by workspaceOutcome
	attempts    metrics.Counter
	retries     metrics.Counter
	queueWait   [tables.Priorities]*histogram
	latency     [tables.Priorities]*histogram
	eventTime   *histogram
	bytes       map[string]metrics.Counter // by class and direction; the map is read-only
	messages    map[string]messageCounter  // by kind and direction; the map is read-only
	version     metrics.Gauge
	quotas      quotaMetrics
	publishedAt atomic.Int64 // when the active version was published, in Unix nanoseconds; 0 before the first
}

// connectionClasses are the classes of connections between nodes.
var connectionClasses = []string{"control", "call", "bulk"}

// controlKinds are the kinds of messages on control connections.
var controlKinds = []string{
	"heartbeat", "member_update", "member_repair", "member_digest", "config_update", "config_fetch", "quota_request", "quota_grant", "response",
	"hello", "types", "other",
	"heartbeat", "member_update", "member_repair", "member_digest", "config_update", "config_fetch", "response", "hello",
	"types", "other", "rollout_updates", "rollout_report", "rollout_fetch",
}

// messageCounter counts the messages of one kind and direction, and their bytes.
type messageCounter struct{ messages, bytes metrics.Counter }

// NewMetrics returns the metrics of a node that has just started.
func NewMetrics() *Metrics {
	r := metrics.NewRegistry()
	m := &Metrics{
		registry:  r,
		attempts:  metrics.GetOrRegisterCounter(familyAttempts, r),
		retries:   metrics.GetOrRegisterCounter(familyRetries, r),
		eventTime: newHistogram(r, familyEventTime, ""),
		version:   metrics.GetOrRegisterGauge(familyVersion, r),
		bytes:     map[string]metrics.Counter{},
		messages:  map[string]messageCounter{},
	}
	for priority := range m.queueWait {
		label := fmt.Sprintf("priority=%q,", fmt.Sprint(priority))
		m.queueWait[priority] = newHistogram(r, familyQueueWait, label)
		m.latency[priority] = newHistogram(r, familyLatency, label)
	}
	for _, class := range connectionClasses {
		for _, direction := range []string{"in", "out"} {
			name := fmt.Sprintf("%s{class=%q,direction=%q}", familyPeerBytes, class, direction)
			m.bytes[class+direction] = metrics.GetOrRegisterCounter(name, r)
		}
	}
	for _, kind := range controlKinds {
		for _, direction := range []string{"in", "out"} {
			labels := fmt.Sprintf("{kind=%q,direction=%q}", kind, direction)
			m.messages[kind+direction] = messageCounter{
				metrics.GetOrRegisterCounter(familyMessages+labels, r), metrics.GetOrRegisterCounter(familyMessageBytes+labels, r),
			}
		}
	}
	m.quotas.register(r)
	metrics.NewRegisteredFunctionalGauge(familyAge, r, m.versionAgeSeconds)
	return m
}

// CallFinished counts a call that entered the system at this node.
func (m *Metrics) CallFinished(e reducer.CallFinished) {
	m.callCounter(e).Inc(1)
	m.latency[e.Priority%tables.Priorities].observe(e.Elapsed)
	m.attempts.Inc(int64(e.Attempts))
	m.retries.Inc(int64(max(e.Attempts-1, 0)))
	if e.Nested {
		m.cachedCounter(&m.nested[e.Outcome%maxOutcomes], func() string {
			return fmt.Sprintf("%s{outcome=%q}", familyNested, e.Outcome)
		}).Inc(1)
	}
	if e.Workspace != "" {
		m.workspaceCounter(workspaceOutcome{e.Workspace, e.Outcome}).Inc(1)
	}
}

// callCounter returns the counter for the priority, outcome and reason of a call.
func (m *Metrics) callCounter(e reducer.CallFinished) metrics.Counter {
	entry := &m.calls[e.Priority%tables.Priorities][e.Outcome%maxOutcomes][e.Reason%maxReasons]
	return m.cachedCounter(entry, func() string {
		return fmt.Sprintf("%s{priority=\"%d\",outcome=%q,reason=%q}", familyCalls, e.Priority, e.Outcome, e.Reason)
	})
}

// cachedCounter returns the counter in entry, or stores the one with the given name there. Counters of calls are cached,
// because formatting the name costs more than the rest of the effect.
func (m *Metrics) cachedCounter(entry *atomic.Pointer[metrics.Counter], name func() string) metrics.Counter {
	if counter := entry.Load(); counter != nil {
		return *counter
	}
	counter := metrics.GetOrRegisterCounter(name(), m.registry)
	entry.Store(&counter)
	return counter
}

// workspaceOutcome are the labels of the calls of a workspace.
type workspaceOutcome struct {
	workspace string
	outcome   reducer.Outcome
}

// workspaceCounter returns the counter for the calls of a workspace with an outcome. There are as many as in the registry.
func (m *Metrics) workspaceCounter(key workspaceOutcome) metrics.Counter {
	if counter, ok := m.workspaces.Load(key); ok {
		return counter.(metrics.Counter)
	}
	name := fmt.Sprintf("%s{workspace=%q,outcome=%q}", familyWorkspaces, key.workspace, key.outcome)
	counter := metrics.GetOrRegisterCounter(name, m.registry)
	m.workspaces.Store(key, counter)
	return counter
}

// CallQueued records how long a call waited for a slot.
func (m *Metrics) CallQueued(e reducer.CallQueued) {
	m.queueWait[e.Priority%tables.Priorities].observe(e.Wait)
}

// VersionPublished records that a version has become active at the time now.
func (m *Metrics) VersionPublished(version uint64, now time.Time) {
	m.version.Update(int64(version))
	m.publishedAt.Store(now.UnixNano())
}

func (m *Metrics) versionAgeSeconds() int64 {
	publishedAt := m.publishedAt.Load()
	if publishedAt == 0 {
		return 0
	}
	return int64(time.Since(time.Unix(0, publishedAt)) / time.Second)
}

// EventReduced records how long the control thread took to reduce an event.
func (m *Metrics) EventReduced(_ reducer.Input, took time.Duration) { m.eventTime.observe(took) }

// BytesIn counts n bytes received on connections of a class.
func (m *Metrics) BytesIn(class string, n int) { m.countBytes(class+"in", n) }

// BytesOut counts n bytes sent on connections of a class.
func (m *Metrics) BytesOut(class string, n int) { m.countBytes(class+"out", n) }

func (m *Metrics) countBytes(key string, n int) {
	if counter, ok := m.bytes[key]; ok {
		counter.Inc(int64(n))
	}
}

// MessageIn counts a message of n bytes received on a control connection.
func (m *Metrics) MessageIn(kind string, n int) { m.countMessage(kind+"in", n) }

// MessageOut counts a message of n bytes sent on a control connection.
func (m *Metrics) MessageOut(kind string, n int) { m.countMessage(kind+"out", n) }

func (m *Metrics) countMessage(key string, n int) {
	if counter, ok := m.messages[key]; ok {
		counter.messages.Inc(1)
		counter.bytes.Inc(int64(n))
	}
}

// PeerRefused counts a peer whose connection was refused, or closed because of what the peer sent.
func (m *Metrics) PeerRefused(reason string) { m.countRefusal("peers", reason) }

// CallerRefused counts a caller's connection or request that was refused before it became a call.
func (m *Metrics) CallerRefused(reason string) { m.countRefusal("callers", reason) }

func (m *Metrics) countRefusal(from, reason string) {
	m.count("%s{from=%q,reason=%q}", familyRefusals, from, reason)
}

// PlatformCallFinished counts a call to the platform's key-value store.
func (m *Metrics) PlatformCallFinished(method, result string) {
	m.count("%s{method=%q,result=%q}", familyPlatform, method, result)
}

// LogDropped counts a log line that was dropped because the log's writer could not keep up.
func (m *Metrics) LogDropped() { m.count(familyLogDropped) }

// SpanExportFailed counts a failed export of spans.
func (m *Metrics) SpanExportFailed() { m.count(familySpanFailures) }

func (m *Metrics) count(format string, args ...any) {
	metrics.GetOrRegisterCounter(fmt.Sprintf(format, args...), m.registry).Inc(1)
}

// RegisterQueueLength registers a gauge that calls length each time the metrics are read.
func (m *Metrics) RegisterQueueLength(queue string, length func() int) {
	name := fmt.Sprintf("%s{queue=%q}", familyQueueLength, queue)
	metrics.NewRegisteredFunctionalGauge(name, m.registry, func() int64 { return int64(length()) })
}

// UpdateStatus updates the gauges whose values only the control thread knows.
func (m *Metrics) UpdateStatus(status reducer.Status) {
	for state := reducer.MemberAlive; state <= reducer.MemberLeft; state++ {
		m.gauge("%s{state=%q}", familyMembers, state).Update(0)
	}
	for _, member := range status.Members {
		gauge := m.gauge("%s{state=%q}", familyMembers, member.State)
		gauge.Update(gauge.Value() + 1)
	}
	m.updateLink(status)
	for _, b := range status.SpeedBalances {
		enabled := int64(0)
		if b.Enabled {
			enabled = 1
		}
		m.gauge("%s{service=%q}", familyBySpeed, b.Service).Update(enabled)
		m.gauge("%s{service=%q}", familySpeedRatio, b.Service).Update(int64(100 * b.Ratio))
	}
	m.gauge(familyLimit).Update(int64(status.Capacity.Limit))
	m.gauge(familyResets).Update(int64(status.Capacity.Resets))
	m.gauge(familyHung).Update(int64(status.Capacity.Hangs))
	m.gauge(familyStoreEra).Update(int64(status.StoreEra))
	m.gauge(familyInvalid).Update(int64(len(status.InvalidEntries)))
	m.gauge(familyUnsupported).Update(int64(len(status.Unsupported)))
	m.gauge("%s{kind=%q}", familyRejected, "older").Update(int64(status.Refusals.Older))
	m.gauge("%s{kind=%q}", familyRejected, "conflicting").Update(int64(status.Refusals.Conflicting))
	m.gauge("%s{kind=%q}", familyRejected, "damaged").Update(int64(status.Refusals.Damaged))
	m.gauge("%s{kind=%q}", familyRejected, "malformed").Update(int64(status.Refusals.Malformed))
	m.gauge("%s{kind=%q}", familyRejected, "invalid").Update(int64(status.Refusals.Invalid))
}

func (m *Metrics) gauge(format string, args ...any) metrics.Gauge {
	return metrics.GetOrRegisterGauge(fmt.Sprintf(format, args...), m.registry)
}
