package tables

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Default and maximum values of keys in the tables.
const (
	DefaultTimeout      = 2 * time.Second
	MaxTimeout          = 60 * time.Second
	DefaultRetries      = 2
	MaxRetries          = 5
	DefaultKeyRetention = 2 * time.Minute
	MaxKeyRetention     = 10 * time.Minute
	DefaultBodyBytes    = 1 << 20
	MaxBodyBytes        = 8 << 20
	DefaultQueueLimit   = 256
	MaxQueueLimit       = 4096
	DefaultRamp         = 10 * time.Second
	MaxRamp             = 5 * time.Minute
	// The limits on what callers may send.
	MaxHeaderLimit   = 1 << 20
	MaxBodyLimit     = 1 << 40
	MaxHeaderTimeout = time.Hour
	MaxIdleTimeout   = 24 * time.Hour
)

// Fault is one error in a document.
type Fault struct {
	Table   string // "routes", "pools" or "document"
	Section string
	Key     string
	Problem string // what was found and what was expected
}

// String returns the table, section and key, as far as they are set, and the problem.
func (f Fault) String() string {
	parts := []string{f.Table}
	if f.Section != "" {
		parts = append(parts, "["+f.Section+"]")
	}
	if f.Key != "" {
		parts = append(parts, f.Key)
	}
	return strings.Join(parts, " ") + ": " + f.Problem
}

// CheckError is the error of Check. It lists all faults that were found in the document.
type CheckError struct {
	Faults []Fault
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// Check parses and validates both tables of a document. It returns a snapshot, or a *CheckError that lists
// all faults that were found; a document is never accepted in part.
func Check(document Document) (*Snapshot, error) { return CheckFrom(nil, document) }

// CheckFrom returns the same as Check. Sections whose text base has too are taken over from it: after a change of a few
// sections of a large document this takes a fraction of the time. base may be nil.
func CheckFrom(base *Snapshot, document Document) (*Snapshot, error) {
	c := &checker{snapshot: &Snapshot{
		document:  document,
		pools:     map[string]Pool{},
		byService: map[string]Pool{},

		workspaces: map[string]*Workspace{},
		byKey:      map[KeyFingerprint]*Workspace{},
	}}
	if base != nil {
		c.known = base.sections
	}
	c.checkDocument(document)
	if len(c.faults) == 0 {
		c.checkPools(document.Pools)
		c.checkRoutes(document.Routes)
	}
	if len(c.faults) > 0 {
		return nil, &CheckError{Faults: c.faults}
	}
	sortRoutes(c.snapshot.routes)
	c.snapshot.index = newRouteIndex(c.snapshot.routes)
	return c.snapshot, nil
}

type checker struct {
	snapshot *Snapshot
	known    sectionsByText // of an earlier snapshot
	faults   []Fault

	routesByHostPath map[hostPath]sameHostPath
}

// sameHostPath holds the routes with one host and path, by their position in the snapshot.
type sameHostPath struct {
	first  int
	others []int
}

func (c *checker) addFault(table, section, key, format string, args ...any) {
	c.faults = append(c.faults, Fault{table, section, key, fmt.Sprintf(format, args...)})
}

func (c *checker) checkDocument(d Document) {
	if size := len(d.Routes) + len(d.Pools); size > MaxDocumentBytes {
		c.addFault("document", "", "", "is %d bytes, at most %d are allowed", size, MaxDocumentBytes)
	}
	if want := ContentHash(d.Routes, d.Pools); d.Hash != want {
		c.addFault("document", "", "hash", "is %q, expected %q, the hash of both tables", d.Hash, want)
	}
	if d.Version == 0 {
		c.addFault("document", "", "version", "is 0, expected 1 or more")
	}
}

// name returns the section's name without the prefix.
func (s *section) name() string {
	_, name, _ := strings.Cut(s.ini.Name(), " ")
	return strings.TrimSpace(name)
}

func (s *section) addFault(key, format string, args ...any) {
	s.checker.addFault(s.table, s.ini.Name(), key, format, args...)
}

// text returns the value of a key, or the fallback if the section does not have it.
func (s *section) text(key, fallback string) string {
	s.used[key] = true
	if !s.ini.HasKey(key) {
		return fallback
	}
	// Value returns the raw text. String would expand %(NAME)s references to other keys, and a few nested
	// references can expand to more than the memory of all nodes.
	return strings.TrimSpace(s.ini.Key(key).Value())
}

func (s *section) required(key string) string {
	value := s.text(key, "")
	if value == "" {
		s.addFault(key, "is missing")
	}
	return value
}

func (s *section) integer(key string, fallback, low, high int64) int64 {
	text := s.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < low || value > high {
		s.addFault(key, "is %q, expected a whole number from %d to %d", text, low, high)
		return fallback
	}
	return value
}

func (s *section) number(key string, fallback, low, high float64) float64 {
	text := s.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		s.addFault(key, "is %q, expected a number from %g to %g", text, low, high)
		return fallback
	}
	return value
}

func (s *section) duration(key string, fallback, low, high time.Duration) time.Duration {
	text := s.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		s.addFault(key, "is %q, expected a duration from %v to %v", text, low, high)
		return fallback
	}
	return value
}

func (s *section) boolean(key string, fallback bool) bool {
	switch text := s.text(key, ""); text {
	case "":
		return fallback
	case "yes", "true":
		return true
	case "no", "false":
		return false
	default:
		s.addFault(key, "is %q, expected yes or no", text)
		return fallback
	}
}

func (s *section) balance() Balance {
	switch text := s.text("balance", "auto"); text {
	case "auto":
	case "slots":
		return BalanceSlots
	case "speed":
		return BalanceSpeed
	default:
		s.addFault("balance", "is %q, expected auto, slots or speed", text)
	}
	return BalanceAuto
}

func (s *section) rejectUnknownKeys() {
	for _, key := range s.ini.Keys() {
		if !s.used[key.Name()] {
			s.addFault(key.Name(), "is not a known key")
		}
	}
}

func (c *checker) checkPools(text string) {
	for _, parsed := range c.parseTable("pools", "pool", text) {
		pool := *parsed.pool
		if other, taken := c.snapshot.byService[pool.Service]; taken {
			c.addFault("pools", parsed.title, "service", "%q is already used by pool %q", pool.Service, other.Name)
		}
		c.snapshot.pools[pool.Name] = pool
		c.snapshot.byService[pool.Service] = pool
	}
}

func (s *section) readPool() *Pool {
	pool := &Pool{
		Name:       s.name(),
		Service:    s.required("service"),
		QueueLimit: int(s.integer("queue_limit", DefaultQueueLimit, 1, MaxQueueLimit)),
		Ramp:       s.duration("ramp", DefaultRamp, 0, MaxRamp),
		Balance:    s.balance(),

		NestedOvertake: int(s.integer("nested_overtake", 0, 0, MaxMinShareSum)),
		MaxConnections: int(s.integer("max_connections", 0, 1, 1<<20)),
	}
	sum := 0
	for priority := range pool.MinShares {
		pool.MinShares[priority] = int(s.integer(fmt.Sprintf("min_share.%d", priority), 0, 0, MaxMinShareSum))
		sum += pool.MinShares[priority]
	}
	if sum > MaxMinShareSum {
		s.addFault("min_share", "minimum shares add up to %d%%, at most %d%% are allowed", sum, MaxMinShareSum)
	}
	s.rejectUnknownKeys()
	return pool
}

func (c *checker) checkRoutes(text string) {
	sections := c.parseTable("routes", "route", text)
	c.snapshot.routes = make([]Route, 0, len(sections))
	c.routesByHostPath = make(map[hostPath]sameHostPath, len(sections))
	for _, parsed := range sections {
		switch {
		case parsed.limits != nil:
			c.snapshot.limits = *parsed.limits
		case parsed.workspace != nil:
			c.addWorkspace(parsed)
		default:
			c.addRoute(parsed)
		}
	}
}

// addRoute adds a route and checks it against the pools and the other routes.
func (c *checker) addRoute(parsed *parsedSection) {
	route := parsed.route
	if route.Unsupported == "" {
		c.checkPoolReferences(parsed.title, route)
	}
	c.rejectAmbiguousRoute(parsed.title, route)
	c.snapshot.routes = append(c.snapshot.routes, *route)
}

func (s *section) readRoute() *Route {
	route := &Route{
		Name:          s.name(),
		Host:          s.text("host", ""),
		Path:          s.text("path", "/"),
		Methods:       parseMethods(s.text("methods", "")),
		Pool:          s.text("pool", ""),
		Split:         s.readSplit(),
		Priority:      int(s.integer("priority", Priorities-1, 0, Priorities-1)),
		Idempotent:    s.boolean("idempotent", false),
		Timeout:       s.duration("timeout", DefaultTimeout, time.Millisecond, MaxTimeout),
		TargetLatency: s.duration("target_latency", 0, time.Millisecond, MaxTimeout),
		Retries:       int(s.integer("retries", DefaultRetries, 0, MaxRetries)),
		KeyRetention:  s.duration("key_retention", DefaultKeyRetention, time.Second, MaxKeyRetention),
		MaxBodyBytes:  s.integer("max_body_bytes", DefaultBodyBytes, 0, MaxBodyBytes),
		Streaming:     s.boolean("streaming", false),
		Upload:        s.boolean("upload", false),
		Public:        s.boolean("public", false),
		Unsupported:   s.text("unsupported", ""),
	}
	if !strings.HasPrefix(route.Path, "/") {
		s.addFault("path", "is %q, expected a path that starts with /", route.Path)
	}
	if route.Streaming && !route.Idempotent {
		s.addFault("streaming", "is set on a route that is not idempotent, expected idempotent = yes")
	}
	if route.Upload && route.Idempotent {
		s.addFault("upload", "is set on an idempotent route, expected idempotent = no")
	}
	s.rejectUnknownKeys()
	return route
}

// limitsSection is the section of the routes table that limits what callers may send.
const limitsSection = "limits"

func (s *section) readLimits() *Limits {
	limits := &Limits{
		HeaderBytes:   int(s.integer("max_header_bytes", 0, 1, MaxHeaderLimit)),
		BodyBytes:     s.integer("max_body_bytes", 0, 0, MaxBodyLimit),
		HeaderTimeout: s.duration("header_timeout", 0, time.Millisecond, MaxHeaderTimeout),
		IdleTimeout:   s.duration("idle_timeout", 0, time.Millisecond, MaxIdleTimeout),
	}
	s.rejectUnknownKeys()
	return limits
}

// checkPoolReferences checks that a route has either a pool or a split, and that the pools it names exist.
func (c *checker) checkPoolReferences(title string, route *Route) {
	switch {
	case route.Pool == "" && len(route.Split) == 0:
		c.addFault("routes", title, "pool", "is missing")
	case route.Pool != "" && len(route.Split) > 0:
		c.addFault("routes", title, "split", "is set together with pool, expected only one of them")
	}
	if _, ok := c.snapshot.pools[route.Pool]; !ok && route.Pool != "" {
		c.addFault("routes", title, "pool", "%q is not in the table of pools", route.Pool)
	}
	for _, weighted := range route.Split {
		if _, ok := c.snapshot.pools[weighted.Pool]; !ok {
			c.addFault("routes", title, "split", "%q is not in the table of pools", weighted.Pool)
		}
	}
}

// MaxWeight is the highest weight of one pool of a split.
const MaxWeight = 1_000_000

// readSplit reads the pools among which a route's requests are split: POOL:WEIGHT, separated by commas. It
// returns nil when the key is missing or invalid.
func (s *section) readSplit() []WeightedPool {
	text := s.text("split", "")
	if text == "" {
		return nil
	}
	var pools []WeightedPool
	sum := 0
	for _, part := range strings.Split(text, ",") {
		pool, weightText, _ := strings.Cut(strings.TrimSpace(part), ":")
		weight, err := strconv.Atoi(strings.TrimSpace(weightText))
		if pool == "" || err != nil || weight < 0 || weight > MaxWeight {
			s.addFault("split", "contains %q, expected POOL:WEIGHT with a weight of 0 to %d", part, MaxWeight)
			return nil
		}
		pools = append(pools, WeightedPool{Pool: strings.TrimSpace(pool), Weight: weight})
		sum += weight
	}
	if sum == 0 {
		s.addFault("split", "has weights that add up to 0, expected at least 1")
		return nil
	}
	return pools
}

// rejectAmbiguousRoute reports a route that matches the same requests as an earlier one: only the order of
// their names would decide which of the two applies.
func (c *checker) rejectAmbiguousRoute(title string, route *Route) {
	key := hostPath{strings.ToLower(route.Host), route.Path}
	same, exists := c.routesByHostPath[key]
	if !exists {
		c.routesByHostPath[key] = sameHostPath{first: len(c.snapshot.routes)}
		return
	}
	for _, i := range append([]int{same.first}, same.others...) {
		if other := &c.snapshot.routes[i]; methodsOverlap(other, route) {
			c.addFault("routes", title, "path", "matches the same requests as route %q", other.Name)
		}
	}
	same.others = append(same.others, len(c.snapshot.routes))
	c.routesByHostPath[key] = same
}

func methodsOverlap(a, b *Route) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	for _, method := range a.Methods {
		if b.allowsMethod(method) {
			return true
		}
	}
	return false
}

// parseMethods returns the methods of a list separated by commas or spaces, in upper case and sorted.
func parseMethods(text string) []string {
	fields := strings.FieldsFunc(strings.ToUpper(text), func(r rune) bool { return r == ',' || r == ' ' })
	sort.Strings(fields)
	return fields
}
