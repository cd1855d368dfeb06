// Package settings reads and checks the INI settings of a node.
package settings

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings holds the settings of one node, with one field for each section of the file.
type Settings struct {
	Node     Node
	Backend  Backend
	Listen   Listen
	Peers    Peers
	Platform Platform
	Limits   Limits
	Retries  Retries
	Quotas   Quotas
	Rollouts Rollouts
	Instance Instance
	Runtime  Runtime
	Shutdown Shutdown
	Log      Log
	Trace    Trace
}

// Node identifies the node, its zone and its system.
type Node struct {
	ID     string
	Zone   string
	System string // nodes refuse connections from nodes of another system
}

// Backend describes the backend server that may register with the node. An empty Service or Address allows any.
type Backend struct {
	Service   string
	Address   string        // IP:port
	Heartbeat time.Duration // interval between its registrations
	// LearnCapacity limits the requests at the backend server to what it has borne, once it resets or leaves without an
	// answer those that are beyond it.
	LearnCapacity bool
}

// Listen holds the addresses on which the node listens, each IP:port.
type Listen struct {
	Callers  string
	Peers    string
	Operator string
	Register string // where the backend server beside the node registers
	// AdvertisePeers is the address at which peers reach the node, if it differs from Peers, for example behind a port
	// forwarder.
	AdvertisePeers string
}

// PeerAddress returns the address that the node advertises to its peers.
func (l Listen) PeerAddress() string {
	if l.AdvertisePeers != "" {
		return l.AdvertisePeers
	}
	return l.Peers
}

// Peers lists the nodes through which the node first contacts the others.
type Peers struct {
	Seeds []string // IP:port of the peer listeners of other nodes
}

// Platform holds the address of the platform's key-value store and the mode in which the node uses the platform.
type Platform struct {
	Address string // IP:port
	Mode    string // ModeOwn or ModeHosted
}

// Values of Platform.Mode.
const (
	// ModeOwn uses the tables that rosemaryhatchctl writes and the project's own HTTP headers.
	ModeOwn = "own"
	// ModeHosted uses the configuration that the platform's operator writes and the platform's HTTP headers.
	ModeHosted = "hosted"
)

// Limits bounds what the node holds at one time.
type Limits struct {
	Calls       int   // calls that entered at this node
	BodyBytes   int64 // reserved for request bodies
	QueuedBytes int64 // request bodies queued for the backend server
	// ResponseBytes bounds the large responses of the backend server that are being received.
	ResponseBytes int64
	Records       int // execution records
}

// Retries is the retry budget of all nodes together.
type Retries struct {
	Ratio float64 // retries as a fraction of the calls
	Slack int     // retries allowed in any 10 s in addition to Ratio
}

// Quotas says how exactly the quotas of workspaces must be kept over all nodes together: in any Window, at most
// (rate x Window + burst) x (1 + Overage) + Slack requests of a workspace may reach backend servers.
type Quotas struct {
	Window  time.Duration
	Overage float64 // fraction
	Slack   int     // requests
}

// Rollouts bounds what a version that is being rolled out may receive before it is known to be good. It is off unless
// Enabled, which is set if the file has the section.
type Rollouts struct {
	Enabled bool
	// A bad version may receive at most ExposureShare of the requests of its service, plus ExposureSlack.
	ExposureShare float64
	ExposureSlack int
	Rollback      time.Duration // longest time from the 50th bad response to the last request that is sent to the version
}

// Instance describes the instance that the node runs on.
type Instance struct {
	LinkMbps float64 // rate of its network link in each direction; 0 if it is not known
}

// Runtime limits the memory and the parallelism of the process.
type Runtime struct {
	MemoryBytes int64 // 0 is unlimited
	Processors  int   // upper limit of GOMAXPROCS
}

// Shutdown limits the duration of a graceful shutdown.
type Shutdown struct {
	Timeout time.Duration
}

// Log holds the level and the format of the log.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // logfmt or json
}

// Trace configures the export and the sampling of spans.
type Trace struct {
	Endpoint string  // IP:port of an OTLP/HTTP collector; empty turns traces off
	Sample   float64 // fraction of the calls that arrive without a sampling decision, 0 to 1
}

// SectionsNeedingRestart returns the names of the sections in which other differs from s in a setting that only a
// restart applies.
func (s Settings) SectionsNeedingRestart(other Settings) []string {
	otherBackend := other.Backend
	otherBackend.Heartbeat = s.Backend.Heartbeat // applied without a restart
	var sections []string
	for _, section := range []struct {
		name    string
		differs bool
	}{
		{"node", s.Node != other.Node},
		{"backend", s.Backend != otherBackend},
		{"listen", s.Listen != other.Listen},
		{"peers", !slices.Equal(s.Peers.Seeds, other.Peers.Seeds)},
		{"platform", s.Platform != other.Platform},
		{"limits", s.Limits != other.Limits},
		{"quotas", s.Quotas != other.Quotas},
		{"rollouts", s.Rollouts != other.Rollouts},
		{"instance", s.Instance != other.Instance},
		{"log", s.Log != other.Log},
		{"trace", s.Trace != other.Trace},
	} {
		if section.differs {
			sections = append(sections, section.name)
		}
	}
	return sections
}

// Problem is one error in a settings file.
type Problem struct {
	File, Section, Key string
	Text               string // what was found and what was expected
}

func (p Problem) Error() string {
	location := p.File
	if p.Section != "" {
		location += ": [" + p.Section + "]"
	}
	if p.Key != "" {
		location += " " + p.Key
	}
	return location + ": " + p.Text
}

// Problems lists every error in a settings file.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. Its errors are of type Problems.
func Load(path string) (Settings, error) { return parse(path, path) }

// parse reads and checks settings from any source that ini.LoadSources accepts. Problems name path as their file.
func parse(path string, source any) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true, AllowNonUniqueSections: true,
		AllowShadows: true, AllowDuplicateShadowValues: true, // so that a key that is set twice is reported
	}, source)
	if err != nil {
		return Settings{}, Problems{{File: path, Text: strings.TrimSpace(err.Error()) + ", expected sections with lines of the form KEY = VALUE"}}
	}
	r := &reader{path: path, file: file, knownKeys: map[string]map[string]bool{}}
	settings := r.settings()
	r.rejectUnknownAndRepeated()
	if len(r.problems) > 0 {
		return Settings{}, r.problems
	}
	return settings, nil
}

// reader reads the keys of a settings file and collects the problems. A key that is never asked for is reported as
// unknown.
type reader struct {
	path      string
	file      *ini.File
	knownKeys map[string]map[string]bool // by section and key
	problems  Problems
}

func (r *reader) settings() Settings {
	memory := r.integer("runtime", "memory_mb", 0, 0, 1<<20) << 20
	return Settings{
		Node: Node{
			ID:     r.name("node", "id"),
			Zone:   r.name("node", "zone"),
			System: r.name("node", "system"),
		},
		Backend: Backend{
			Service:   r.text("backend", "service"),
			Address:   r.optionalAddress("backend", "address"),
			Heartbeat: r.duration("backend", "heartbeat", time.Second, 100*time.Millisecond, time.Minute),

			LearnCapacity: r.choice("backend", "learn_capacity", "no", "yes") == "yes",
		},
		Listen: Listen{
			Callers:  r.address("listen", "callers"),
			Peers:    r.address("listen", "peers"),
			Operator: r.address("listen", "operator"),
			Register: r.address("listen", "register"),

			AdvertisePeers: r.optionalAddress("listen", "advertise_peers"),
		},
		Peers: Peers{Seeds: r.addresses("peers", "seeds")},
		Platform: Platform{
			Address: r.address("platform", "address"),
			Mode:    r.choice("platform", "mode", ModeOwn, ModeHosted),
		},
		Limits: Limits{
			Calls:       int(r.integer("limits", "calls", 4096, 1, 65536)),
			BodyBytes:   r.integer("limits", "body_bytes", 128<<20, 1<<20, 1<<34),
			QueuedBytes: r.integer("limits", "queued_bytes", 64<<20, 1<<20, 1<<34),
			// An eighth of the memory is 16 MB on the smallest instances, where 80 MB are left beside the idle process.
			ResponseBytes: r.integer("limits", "response_bytes", defaultResponseBytes(memory), 1<<20, 1<<34),
			Records:       int(r.integer("limits", "records", 100_000, 100, 10_000_000)),
		},
		Retries: Retries{
			Ratio: r.fraction("retries", "ratio", 0.2),
			Slack: int(r.integer("retries", "slack", 200, 0, 1_000_000)),
		},
		Quotas: Quotas{
			Window:  r.duration("quotas", "window", 5*time.Second, time.Second, time.Minute),
			Overage: r.fraction("quotas", "overage", 0),
			Slack:   int(r.integer("quotas", "slack", 0, 0, 1_000_000)),
		},
		Rollouts: Rollouts{
			Enabled:       r.file.HasSection("rollouts"),
			ExposureShare: r.fraction("rollouts", "exposure_share", 0.1),
			ExposureSlack: int(r.integer("rollouts", "exposure_slack", 50, 0, 1_000_000)),
			Rollback:      r.duration("rollouts", "rollback", 5*time.Second, time.Second, time.Minute),
		},
		Instance: Instance{LinkMbps: r.number("instance", "link_mbps", 0, 0, 1e6)},
		Runtime: Runtime{
			MemoryBytes: memory,
			Processors:  int(r.integer("runtime", "processors", 2, 1, 1024)),
		},
		Shutdown: Shutdown{Timeout: r.duration("shutdown", "timeout", time.Minute, time.Second, time.Hour)},
		Log: Log{
			Level:  r.choice("log", "level", "info", "debug", "warn", "error"),
			Format: r.choice("log", "format", "logfmt", "json"),
		},
		Trace: Trace{
			Endpoint: r.optionalAddress("trace", "endpoint"),
			Sample:   r.fraction("trace", "sample", 0.01),
		},
	}
}

// Bounds of the default of response_bytes.
const (
	minDefaultResponseBytes = 1 << 20
	maxDefaultResponseBytes = 64 << 20
	// responseMemoryDivisor is the part of the memory of the process that large responses may take.
	responseMemoryDivisor = 8
)

// defaultResponseBytes returns the default of response_bytes for the memory of the process, 0 when that is not bounded.
func defaultResponseBytes(memory int64) int64 {
	if memory == 0 {
		return maxDefaultResponseBytes
	}
	return min(max(memory/responseMemoryDivisor, minDefaultResponseBytes), maxDefaultResponseBytes)
}

func (r *reader) addProblem(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.path, section, key, fmt.Sprintf(format, args...)})
}

// text returns the value of a key without surrounding spaces, or "" if the key is not set.
func (r *reader) text(section, key string) string {
	if r.knownKeys[section] == nil {
		r.knownKeys[section] = map[string]bool{}
	}
	r.knownKeys[section][key] = true
	// Value returns the text as written; String would replace %(NAME)s by the value of the key NAME.
	return strings.TrimSpace(r.file.Section(section).Key(key).Value())
}

const maxNameBytes = 64

func (r *reader) name(section, key string) string {
	value := r.text(section, key)
	if value == "" || len(value) > maxNameBytes || strings.ContainsAny(value, " \t/") {
		r.addProblem(section, key, "is %q, expected a name of 1 to %d bytes without spaces, tabs or slashes", value, maxNameBytes)
	}
	return value
}

func (r *reader) address(section, key string) string {
	value := r.text(section, key)
	r.checkAddress(section, key, value)
	return value
}

func (r *reader) optionalAddress(section, key string) string {
	value := r.text(section, key)
	if value != "" {
		r.checkAddress(section, key, value)
	}
	return value
}

func (r *reader) addresses(section, key string) []string {
	list := strings.FieldsFunc(r.text(section, key), func(c rune) bool { return c == ',' || c == ' ' })
	for _, value := range list {
		r.checkAddress(section, key, value)
	}
	return list
}

func (r *reader) checkAddress(section, key, value string) {
	host, port, err := net.SplitHostPort(value)
	portNumber, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || portNumber == 0 {
		r.addProblem(section, key, "is %q, expected IP:port", value)
	}
}

func (r *reader) integer(section, key string, fallback, low, high int64) int64 {
	text := r.text(section, key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < low || value > high {
		r.addProblem(section, key, "is %q, expected a whole number from %d to %d", text, low, high)
		return fallback
	}
	return value
}

func (r *reader) duration(section, key string, fallback, low, high time.Duration) time.Duration {
	text := r.text(section, key)
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		r.addProblem(section, key, "is %q, expected a duration from %v to %v", text, low, high)
		return fallback
	}
	return value
}

func (r *reader) fraction(section, key string, fallback float64) float64 {
	text := r.text(section, key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= 1) {
		r.addProblem(section, key, "is %q, expected a number from 0 to 1", text)
		return fallback
	}
	return value
}

func (r *reader) number(section, key string, fallback, low, high float64) float64 {
	text := r.text(section, key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		r.addProblem(section, key, "is %q, expected a number from %g to %g", text, low, high)
		return fallback
	}
	return value
}

// choice returns the value of a key that must be one of values. The first of them is the default.
func (r *reader) choice(section, key string, values ...string) string {
	text := r.text(section, key)
	if text == "" {
		return values[0]
	}
	for _, value := range values {
		if text == value {
			return value
		}
	}
	r.addProblem(section, key, "is %q, expected one of %s", text, strings.Join(values, ", "))
	return values[0]
}

func (r *reader) rejectUnknownAndRepeated() {
	seen := map[string]bool{}
	for _, section := range r.file.Sections() {
		name := section.Name()
		if r.knownKeys[name] == nil && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			r.addProblem(name, "", "is not a known section, expected one of %s", joinSortedKeys(r.knownKeys))
			continue
		}
		if seen[name] {
			r.addProblem(name, "", "is given twice, expected each section once")
		}
		seen[name] = true
		for _, key := range section.Keys() {
			if !r.knownKeys[name][key.Name()] {
				r.addProblem(name, key.Name(), "is not a known key, expected one of %s", joinSortedKeys(r.knownKeys[name]))
			}
			if len(key.ValueWithShadows()) > 1 {
				r.addProblem(name, key.Name(), "is set twice, expected each key once")
			}
		}
	}
}

// joinSortedKeys returns the keys of a map in alphabetical order, separated by commas.
func joinSortedKeys[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}
