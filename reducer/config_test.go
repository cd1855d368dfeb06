package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// TestConfigScripts runs the scripts in testdata/config, each on new nodes and a new store. The comment above a
// script says which failure it guards against.
func TestConfigScripts(t *testing.T) {
	t.Log("seed", simSeed)
	datadriven.RunTest(t, "testdata/config", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "play" {
			d.Fatalf(t, "directive is %q, expected play followed by one command per line", d.Cmd)
		}
		m := newSim()
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			for _, printed := range m.runCommand(t, strings.Fields(line)) {
				out.WriteString(printed + "\n")
			}
		}
		return out.String()
	})
}

func (m *sim) runCommand(t *testing.T, words []string) []string {
	var n uint64
	fmt.Sscan(words[len(words)-1], &n)
	switch words[0] {
	case "start":
		m.start(words[1], words[2:]...)
	case "run":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		m.run(d)
	case "put":
		m.put(n, "")
	case "put-invalid":
		m.put(n, "[route r]\npool = absent\n")
	case "damage":
		m.put(n, "")
		m.store.doc.Routes = "[route"
	case "offer":
		m.schedule(0, words[1], PeerMessage{From: PeerRef{Node: "peer", Address: "peer"}, Message: ConfigUpdate{Document: simDocument(n, "")}})
	case "offer-conflict":
		m.schedule(0, words[1], PeerMessage{From: PeerRef{Node: "peer", Address: "peer"}, Message: ConfigUpdate{Document: simDocument(n, "# other\n")}})
	case "down", "up":
		m.store.down = words[0] == "down"
		m.cutWatches()
	case "stale", "fresh":
		m.store.stale = words[0] == "stale"
	case "forget":
		m.store.historyLost = true
	case "lapse":
		clear(m.store.leases)
	case "entries":
		var names []string
		for _, entry := range m.entries() {
			names = append(names, string(entry.Node))
		}
		return []string{"entries: " + strings.Join(names, " ")}
	case "cut", "heal":
		m.unreachable[words[1]] = words[0] == "cut"
	case "leave":
		m.schedule(0, words[1], ShutdownRequested{})
	case "stop":
		delete(m.nodes, words[1])
		delete(m.store.watches, words[1])
	case "log":
		count := 0
		for _, message := range m.log {
			if strings.HasPrefix(message, "configuration refused") {
				count++
			}
		}
		return []string{fmt.Sprint("refusals logged: ", count)}
	case "deltas":
		return []string{fmt.Sprint("deltas sent: ", m.deltas > 0)}
	case "offer-delta":
		delta := tables.Diff(simDocument(n-1, ""), simDocument(n, "# other\n"))
		if words[1] == "damaged" {
			delta.Hash = "damaged"
		}
		m.schedule(0, words[2], PeerMessage{From: PeerRef{Node: "n1", Address: "n1"}, Message: ConfigUpdate{Delta: &delta}})
	case "status":
		return []string{m.status(words[1])}
	default:
		t.Fatalf("unknown command %q", words[0])
	}
	return nil
}

// maxStartupCalls is the number of platform calls of a node that starts without knowing other nodes: it reads the
// tables, sends a watch, gets a lease, writes its entry and lists the other nodes twice. All nodes may make these calls
// at once, because their entries have to be restored within 2 s after an outage of the platform.
const maxStartupCalls = 6

// maxSteadyCallRate is the maximum number of platform calls per second and zone in steady state (docs/design.md,
// section 4.2).
const maxSteadyCallRate = 2

// callsBetween returns the number of platform calls from a time up to, but not including, another one.
func (m *sim) callsBetween(from, to time.Duration) int {
	count := 0
	for _, at := range m.store.callTimes {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// TestPlatformCallsOfZone guards against a rate of platform calls that grows with the number of nodes in a zone, and
// against a thundering herd after an outage of the platform: nodes that started in the outage do not know each other
// yet, so each of them calls the platform itself.
func TestPlatformCallsOfZone(t *testing.T) {
	t.Log("seed", simSeed)
	m := newSim()
	m.store.down = true
	for i := range 8 {
		m.start(fmt.Sprint("n", i))
	}
	m.put(1, "")
	m.run(60 * time.Second)
	m.store.down = false
	m.run(30 * time.Second)
	most := 0
	for at := 60 * time.Second; at < 89*time.Second; at += 50 * time.Millisecond {
		most = max(most, m.callsBetween(at, at+time.Second))
	}
	steadyStart := m.now
	m.run(60 * time.Second)
	steady := float64(m.callsBetween(steadyStart, m.now)) / 60
	t.Logf("steady %.2f calls/s; in the outage %.2f calls/s; after it at most %d calls in a second, %d in the first 10 s",
		steady, float64(m.callsBetween(0, 60*time.Second))/60, most, m.callsBetween(60*time.Second, 70*time.Second))
	if steady > maxSteadyCallRate {
		t.Errorf("%.2f calls/s in steady state, expected at most %d", steady, maxSteadyCallRate)
	}
	if most > maxStartupCalls*len(m.nodes) {
		t.Errorf("%d calls in one second after the outage, expected at most %d for each of %d nodes", most, maxStartupCalls, len(m.nodes))
	}
	for id := range m.nodes {
		if !m.nodes[id].isReady() {
			t.Errorf("%s is not ready", id)
		}
	}
}

// TestWatchRate guards against delays of changes that follow each other quickly, because the next watch is sent too late,
// and against too many watches when the platform answers them without waiting, with or without a new revision.
func TestWatchRate(t *testing.T) {
	const seconds = 20
	for name, test := range map[string]struct {
		newRevisions bool
		most         int
	}{
		"every answer has a new revision": {true, seconds + watchBurst},
		"no answer has a new revision":    {false, seconds + 1},
	} {
		s := New(Config{Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits()})
		now, revision, watches := time.Duration(0), uint64(1), 0
		s.watchStore()
		for s.config.reader.watch.inFlight && now < seconds*time.Second {
			watches++
			if test.newRevisions {
				revision++
			}
			effects := Reduce(s, Event{Now: now, Input: StoreRead{Result: StoreAbsent, Watch: true, After: s.config.reader.watchedAfter, Revision: revision}})
			if test.newRevisions && watches < watchBurst && !s.config.reader.watch.inFlight {
				t.Errorf("%s: watch %d is not followed by another watch at once: %v", name, watches, effects)
			}
			for !s.config.reader.watch.inFlight {
				now += 10 * time.Millisecond
				Reduce(s, Event{Now: now, Input: TimerDue{}})
			}
		}
		if watches > test.most {
			t.Errorf("%s: %d watches in %d s, expected at most %d", name, watches, seconds, test.most)
		}
	}
}

// TestQuickChangesNeedFewWatches guards against a storm of versions in which each change costs a call of every reader, and
// against a version that is late because the first reader of the zone is cut off from the store.
func TestQuickChangesNeedFewWatches(t *testing.T) {
	const (
		changes  = 20
		interval = 300 * time.Millisecond
		bound    = 2 * time.Second // config-apply-ms of the users' smallest sites
	)
	t.Log("seed", simSeed)
	m := newSim()
	for i := range 6 {
		m.start(fmt.Sprint("n", i), "n0")
	}
	m.put(1, "")
	m.run(30 * time.Second)
	m.store.callKinds = nil
	for version := range uint64(changes) {
		m.put(2+version, "")
		m.run(interval)
	}
	m.run(bound)
	watches := 0
	for _, kind := range m.store.callKinds {
		if kind == "WatchStore" {
			watches++
		}
	}
	elapsed := changes*interval + bound
	if most := changes + (readersPerZone-1)*(int(elapsed/watchInterval)+1); watches > most {
		t.Errorf("%d watches for %d changes in %v, expected at most %d", watches, changes, elapsed, most)
	}
	for id, node := range m.nodes {
		if got := node.config.active.ID().Number; got != 1+changes {
			t.Errorf("%s has version %d, expected %d within %v", id, got, 1+changes, bound)
		}
	}
	delete(m.store.watches, "n0") // its watch gets no answer any more
	m.put(100, "")
	m.run(bound)
	for id, node := range m.nodes {
		if got := node.config.active.ID().Number; got != 100 {
			t.Errorf("first reader cut off: %s has version %d, expected 100 within %v", id, got, bound)
		}
	}
}

// TestOneCallAtATimeInAnOutage guards against a reader that reads and watches side by side while the store does not answer,
// and against one that does not watch again afterwards.
func TestOneCallAtATimeInAnOutage(t *testing.T) {
	const outage = 30 * time.Second
	t.Log("seed", simSeed)
	m := newSim()
	m.start("n0")
	m.put(1, "")
	m.run(30 * time.Second)
	m.store.down, m.store.callKinds = true, nil
	m.cutWatches()
	m.run(outage)
	calls := 0
	for _, kind := range m.store.callKinds {
		if kind == "WatchStore" || kind == "ReadStore" {
			calls++
		}
	}
	// Each call follows the failure of the one before after at least half of the backoff.
	if most := int(outage/(maxStoreBackoff/2)) * 3 / 4; calls > most || calls == 0 {
		t.Errorf("%d reads and watches in an outage of %v, expected at most %d", calls, outage, most)
	}
	m.store.down = false
	m.run(2 * maxStoreBackoff)
	m.put(2, "")
	m.run(time.Second)
	if got := m.nodes["n0"].config.active.ID().Number; got != 2 {
		t.Errorf("version %d after the outage, expected 2", got)
	}
}

// TestFewerReadersAmongZones guards against readers whose number grows with the zones, and against a zone that is alone in a
// partition with fewer readers than it needs.
func TestFewerReadersAmongZones(t *testing.T) {
	t.Log("seed", simSeed)
	m := newSim()
	for zone := range 4 {
		for i := range 5 {
			m.startIn(fmt.Sprint("z", zone), fmt.Sprintf("z%d-%d", zone, i), "z0-0")
		}
	}
	m.put(1, "")
	m.run(30 * time.Second)
	readers := func(zone string) (n int) {
		for _, node := range m.nodes {
			if node.cfg.Zone == zone && node.isReader() {
				n++
			}
		}
		return n
	}
	for zone := range 4 {
		if n := readers(fmt.Sprint("z", zone)); n != readersAmongZones {
			t.Errorf("zone %d has %d readers, expected %d", zone, n, readersAmongZones)
		}
	}
	for id := range m.nodes {
		if m.nodes[id].cfg.Zone != "z0" {
			m.unreachable[id] = true
		}
	}
	m.run(2 * zoneSilenceLimit)
	if n := readers("z0"); n != readersPerZone {
		t.Errorf("a zone that is alone has %d readers, expected %d", n, readersPerZone)
	}
	m.put(2, "")
	m.run(2 * time.Second)
	for id, node := range m.nodes {
		if node.cfg.Zone == "z0" && node.config.active.ID().Number != 2 {
			t.Errorf("%s has version %d in the partition, expected 2", id, node.config.active.ID().Number)
		}
	}
}

// TestRestartOfZoneSendsFewDocuments guards against the document being sent over every link when most nodes of a zone
// restart at the same time. A node may receive it from the first peers that it asks and from one more whose heartbeat
// announces the version (docs/design.md, section 4.3).
func TestRestartOfZoneSendsFewDocuments(t *testing.T) {
	t.Logf("seed %d", simSeed)
	m := newSim()
	m.put(1, "")
	const nodes, notRestarted = 48, 8
	name := func(i int) string { return fmt.Sprintf("n%02d", i) }
	for i := range nodes {
		m.start(name(i), name(0), name(1))
	}
	m.run(10 * time.Second)
	m.documents = map[string]int{}
	for i := notRestarted; i < nodes; i++ {
		m.start(name(i), name(0), name(1))
	}
	m.run(5 * time.Second)
	for i := range nodes {
		if s := m.nodes[name(i)].status(); s.Version.Number != 1 {
			t.Errorf("%s has version %d 5 s after the restart, expected 1", name(i), s.Version.Number)
		}
		if i >= notRestarted && m.documents[name(i)] > maxStartupFetches+1 || i < notRestarted && m.documents[name(i)] > 0 {
			t.Errorf("%s was sent the document %d times", name(i), m.documents[name(i)])
		}
	}
}

// TestFirstVersionRequestsAreBounded guards against too many requests for the first version: requests queue up while
// connections are being set up, and each is answered with a document. Only a few may be open before a version is
// seen, and peers that do not answer must not keep others from being asked.
func TestFirstVersionRequestsAreBounded(t *testing.T) {
	s := New(Config{Self: "n00", Zone: "Hella", Address: "n00", Limits: DefaultLimits()})
	for i := 1; i < 40; i++ {
		node := NodeID(fmt.Sprintf("n%02d", i))
		s.mergeMember(Member{Node: node, Zone: "Hella", Address: string(node), State: MemberAlive})
	}
	asked := map[NodeID]int{}
	for now := time.Duration(0); now < 4*startupFetchTimeout; now += 50 * time.Millisecond {
		requests := 0
		for _, effect := range Reduce(s, Event{Now: now, Input: TimerDue{}}) {
			send, _ := effect.(Send)
			if _, isFetch := send.Message.(ConfigFetch); isFetch {
				asked[send.To.Node]++
				requests++
			}
		}
		if requests > maxStartupFetches {
			t.Errorf("at %v, %d peers are asked, expected at most %d", now, requests, maxStartupFetches)
		}
	}
	total := 0
	for _, count := range asked {
		total += count
	}
	if total > 4*maxStartupFetches {
		t.Errorf("%d unanswered requests in %v, expected at most %d", total, 4*startupFetchTimeout, 4*maxStartupFetches)
	}
	if len(asked) <= maxStartupFetches {
		t.Errorf("only %d silent peers were asked", len(asked))
	}
}

// TestZonesGetChangesOnce guards against sending a change to zones that receive it from the store, because
// users pay for traffic between zones. A zone without an answer from the store must still get the change within the
// users' bound of 2 s.
func TestZonesGetChangesOnce(t *testing.T) {
	const zones, nodes, versions, bound = 4, 12, 10, 2 * time.Second
	for _, silent := range []map[string]bool{nil, {"zone-1": true}} {
		m := newSim()
		m.silentZones = silent
		m.put(1, "")
		for i := range zones * nodes {
			m.startIn(fmt.Sprint("zone-", i%zones), fmt.Sprintf("n%02d", i), "n00", "n01")
		}
		m.run(20 * time.Second)
		m.crossZone = 0
		for version := uint64(2); version < 2+versions; version++ {
			m.put(version, "")
			m.run(bound)
			for id, node := range m.nodes {
				if held := node.status().Version.Number; held != version {
					t.Fatalf("silent zones %v: %s has version %d, expected %d", silent, id, held, version)
				}
			}
		}
		allowed := 0
		if silent != nil {
			allowed = nodes * versions // each node may be the first of its zone to hear of the version
		}
		if m.crossZone > allowed {
			t.Errorf("silent zones %v: %d documents and deltas were sent to other zones, expected at most %d", silent, m.crossZone, allowed)
		}
	}
}

// TestLongChangesAreSentOnce guards against a node receiving a large change from each of its peers. On links of a few
// Mbit/s, requests waited behind that traffic for seconds.
func TestLongChangesAreSentOnce(t *testing.T) {
	const nodes, routes, bound = 40, 300, 2 * time.Second
	m := newSim()
	m.put(1, "")
	for i := range nodes {
		m.start(fmt.Sprintf("n%02d", i), "n00", "n01")
	}
	m.run(20 * time.Second)
	m.deltas, m.documents = 0, map[string]int{}
	var text strings.Builder
	for i := range routes {
		fmt.Fprintf(&text, "[route r%d]\npath = /r%d\npool = p0\n", i, i)
	}
	m.put(2, text.String())
	m.run(bound)
	sent := m.deltas
	for id, node := range m.nodes {
		sent += m.documents[id]
		if held := node.status().Version.Number; held != 2 {
			t.Errorf("%s has version %d, expected 2", id, held)
		}
	}
	if sent > nodes {
		t.Errorf("%d documents and deltas were sent to %d nodes, expected at most one per node", sent, nodes)
	}
}

// TestStartsNeedFewCallsToTheStore guards against a number of store calls that grows with the number of nodes that
// start: users pay for each call, and every node of a fleet once made four calls in its first second.
func TestStartsNeedFewCallsToTheStore(t *testing.T) {
	const zones, nodes = 5, 100
	m := newSim()
	m.put(1, "")
	for i := range nodes {
		m.startIn(fmt.Sprint("zone-", i%zones), fmt.Sprintf("n%03d", i))
	}
	m.run(5 * time.Second)
	for id, node := range m.nodes {
		if !node.isReady() || node.members.livePeers != nodes-1 {
			t.Fatalf("%s knows %d other nodes 5 s after the start, ready: %v", id, node.members.livePeers, node.isReady())
		}
	}
	calls := map[string]int{}
	for _, call := range m.store.callKinds {
		calls[call]++
	}
	t.Log(calls)
	allowed := zones*readersPerZone + nodes/10
	for _, call := range []string{"GrantLease", "AnnounceNode", "WatchStore"} {
		if calls[call] > allowed {
			t.Errorf("%d %s calls for %d nodes, expected at most %d", calls[call], call, nodes, allowed)
		}
	}
}

// TestNodesFindEachOtherDespiteUnreachableEntry guards against nodes that do not find each other: the store lists a node
// that is not reachable, and the nodes try to join it instead of writing entries of their own.
func TestNodesFindEachOtherDespiteUnreachableEntry(t *testing.T) {
	m := newSim()
	m.put(1, "")
	m.store.lastLease = 1
	m.store.leases[1] = &simLease{expires: time.Hour, entry: NodeEntry{Node: "gone", Zone: "Hella", Address: "gone"}}
	m.start("n1")
	m.start("n2")
	m.run(10 * time.Second)
	for id, node := range m.nodes {
		if node.members.livePeers != 1 {
			t.Errorf("%s knows %d other nodes, expected 1", id, node.members.livePeers)
		}
	}
}
