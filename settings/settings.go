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

// Settings are the settings of one node.
type Settings struct {
	Node     Node
	Backend  Backend
	Listen   Listen
	Peers    Peers
	Platform Platform
	Limits   Limits
	Retries  Retries
	Runtime  Runtime
	Shutdown Shutdown
	Log      Log
	Trace    Trace
}

// Node names the node and its place.
type Node struct {
	ID     string
	Zone   string
	System string // nodes of different systems refuse each other
}

// Backend is the backend server that may register with the node. Empty fields allow any.
type Backend struct {
	Service   string
	Address   string        // IP:port
	Heartbeat time.Duration // interval of its registrations
}

// Listen holds the node's own addresses, each IP:port.
type Listen struct {
	Callers  string
	Peers    string
	Operator string
	Register string // where the backend server beside the node registers
	// AdvertisePeers is where peers reach the node when that is not Peers, as behind a port forwarder.
	AdvertisePeers string
}

// PeerAddress returns the address that the node announces to its peers.
func (l Listen) PeerAddress() string {
	if l.AdvertisePeers != "" {
		return l.AdvertisePeers
	}
	return l.Peers
}

// Peers says how the node finds its first peer.
type Peers struct {
	Seeds []string // IP:port of other nodes' peer listeners
}

// Platform says where the platform's key-value service is.
type Platform struct {
	Address string // IP:port
	Mode    string // ModeOwn or ModeHosted
}

// Modes of the platform.
const (
	// ModeOwn takes the tables that rosemaryhatchctl writes, and the project's own headers.
	ModeOwn = "own"
	// ModeHosted takes the configuration that the platform's operator writes, and the platform's headers.
	ModeHosted = "hosted"
)

// Limits bound what the node holds.
type Limits struct {
	Calls       int
	BodyBytes   int64
	QueuedBytes int64
	Records     int
}

// Retries bound the retries of all nodes together.
type Retries struct {
	Ratio float64 // of the calls
	Slack int     // beside that, in any 10 s
}

// Runtime bounds the process.
type Runtime struct {
	MemoryBytes int64 // 0 is no bound
	Processors  int   // threads that run at a time
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Timeout time.Duration
}

// Log says what is logged and how.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // logfmt or json
}

// Trace says where spans go.
type Trace struct {
	Endpoint string  // IP:port of an OTLP/HTTP collector; empty turns traces off
	Sample   float64 // share of the calls without a sampled parent, 0 to 1
}

// Fixed returns the sections in which other settings differ and that only a restart can take over.
func (s Settings) Fixed(other Settings) []string {
	heartbeat := other.Backend
	heartbeat.Heartbeat = s.Backend.Heartbeat // taken over at once
	var sections []string
	for _, section := range []struct {
		name    string
		differs bool
	}{
		{"node", s.Node != other.Node},
		{"backend", s.Backend != heartbeat},
		{"listen", s.Listen != other.Listen},
		{"peers", !slices.Equal(s.Peers.Seeds, other.Peers.Seeds)},
		{"platform", s.Platform != other.Platform},
		{"limits", s.Limits != other.Limits},
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
	place := p.File
	if p.Section != "" {
		place += ": [" + p.Section + "]"
	}
	if p.Key != "" {
		place += " " + p.Key
	}
	return place + ": " + p.Text
}

// Problems is every error in a settings file.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is a Problems when the content is wrong.
func Load(path string) (Settings, error) { return parse(path, path) }

// parse reads settings from a source of the ini package; problems name the path.
func parse(path string, source any) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true, AllowNonUniqueSections: true,
		AllowShadows: true, AllowDuplicateShadowValues: true, // a key that is set twice is found
	}, source)
	if err != nil {
		return Settings{}, Problems{{File: path, Text: strings.TrimSpace(err.Error()) + ", expected sections with lines of the form KEY = VALUE"}}
	}
	r := &reader{path: path, file: file, used: map[string]map[string]bool{}}
	settings := r.settings()
	r.rejectUnknown()
	if len(r.problems) > 0 {
		return Settings{}, r.problems
	}
	return settings, nil
}

type reader struct {
	path     string
	file     *ini.File
	used     map[string]map[string]bool
	problems Problems
}

func (r *reader) settings() Settings {
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
			Records:     int(r.integer("limits", "records", 100_000, 100, 10_000_000)),
		},
		Retries: Retries{
			Ratio: r.share("retries", "ratio", 0.2),
			Slack: int(r.integer("retries", "slack", 200, 0, 1_000_000)),
		},
		Runtime: Runtime{
			MemoryBytes: r.integer("runtime", "memory_mb", 0, 0, 1<<20) << 20,
			Processors:  int(r.integer("runtime", "processors", 2, 1, 1024)),
		},
		Shutdown: Shutdown{Timeout: r.duration("shutdown", "timeout", time.Minute, time.Second, time.Hour)},
		Log: Log{
			Level:  r.choice("log", "level", "info", "debug", "warn", "error"),
			Format: r.choice("log", "format", "logfmt", "json"),
		},
		Trace: Trace{
			Endpoint: r.optionalAddress("trace", "endpoint"),
			Sample:   r.share("trace", "sample", 0.01),
		},
	}
}

func (r *reader) problem(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.path, section, key, fmt.Sprintf(format, args...)})
}

func (r *reader) text(section, key string) string {
	if r.used[section] == nil {
		r.used[section] = map[string]bool{}
	}
	r.used[section][key] = true
	// Value is the text as it stands; String would replace %(NAME)s by other keys.
	return strings.TrimSpace(r.file.Section(section).Key(key).Value())
}

const maxNameBytes = 64

func (r *reader) name(section, key string) string {
	value := r.text(section, key)
	if value == "" || len(value) > maxNameBytes || strings.ContainsAny(value, " \t/") {
		r.problem(section, key, "is %q, expected a name of 1 to %d bytes without spaces and slashes", value, maxNameBytes)
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
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number == 0 {
		r.problem(section, key, "is %q, expected IP:port", value)
	}
}

func (r *reader) integer(section, key string, fallback, low, high int64) int64 {
	text := r.text(section, key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < low || value > high {
		r.problem(section, key, "is %q, expected a whole number from %d to %d", text, low, high)
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
		r.problem(section, key, "is %q, expected a duration from %v to %v", text, low, high)
		return fallback
	}
	return value
}

func (r *reader) share(section, key string, fallback float64) float64 {
	text := r.text(section, key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= 1) {
		r.problem(section, key, "is %q, expected a number from 0 to 1", text)
		return fallback
	}
	return value
}

// choice returns one of the values; the first is the default.
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
	r.problem(section, key, "is %q, expected one of %s", text, strings.Join(values, ", "))
	return values[0]
}

func (r *reader) rejectUnknown() {
	seen := map[string]bool{}
	for _, section := range r.file.Sections() {
		name := section.Name()
		if r.used[name] == nil && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			r.problem(name, "", "is not a known section, expected one of %s", names(r.used))
			continue
		}
		if seen[name] {
			r.problem(name, "", "is given twice, expected each section once")
		}
		seen[name] = true
		for _, key := range section.Keys() {
			if !r.used[name][key.Name()] {
				r.problem(name, key.Name(), "is not a known key, expected one of %s", names(r.used[name]))
			}
			if len(key.ValueWithShadows()) > 1 {
				r.problem(name, key.Name(), "is set twice, expected each key once")
			}
		}
	}
}

// names lists the keys of a map in the order of their names.
func names[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}
