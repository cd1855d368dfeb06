package main

import (
	"syscall"
	"time"
)

func init() {
	cases["restored-config"] = restoredConfig
	cases["restored-leave"] = restoredLeave
}

// stableWindow is the stable-window-ms of the settings.
const stableWindow = 3 * time.Second

// drill takes the store away for half a second and brings it back from a copy.
func (m *mesh) drill(d data) {
	m.store.away()
	record("store   is away")
	time.Sleep(500 * time.Millisecond)
	m.store.restore(d)
	m.store.open()
	record("store   is back from a copy at revision %d, era %d", m.store.currentRevision(), m.store.era)
}

// restoredConfig: the store comes back from a copy of before the last two versions, the operator writes the newest again, and
// later a new one, by which the store's revision becomes the one that the nodes had seen before. Played up to six times, so that
// the script ends within 120 s.
func restoredConfig(trouble bool) {
	m := newMesh()
	services := []string{"huvo11a", "wuno96b"}
	for i, name := range []string{"larvik-1", "horten-1"} {
		m.addNode(name, name[:6], services[i], nil)
	}
	table := func(timeout int, service string) []route {
		return []route{{Name: "r-1", Prefix: "/lohu930/", Kind: "idempotent", TimeoutMs: timeout, TargetLatency: 300, Priority: 1, Service: service, MaxAttempts: 2}}
	}
	version := 3
	m.configure(version, services, table(800, services[0]))
	m.startAll("/lohu930/2f")
	time.Sleep(4 * time.Second)
	for round := 1; round <= 6; round++ {
		from, to := services[(round+1)%2], services[round%2]
		older := m.store.copyNow()
		record("round %d: the store is copied at revision %d", round, older.revision)
		m.configure(version+1, services, table(900, from))
		time.Sleep(500 * time.Millisecond)
		m.configure(version+2, services, table(1000, from))
		time.Sleep(time.Second)
		if trouble {
			m.drill(older)
			m.configure(version+2, services, table(1000, from)) // what the operator wrote is written again
		}
		calls := m.store.callCount()
		time.Sleep(4 * time.Second) // the core is stable again
		record("store   got %d calls in 4 s", m.store.callCount()-calls)
		version += 3
		confirmed := m.configure(version, services, table(1000, to))
		time.Sleep(2500 * time.Millisecond)
		if late, _ := m.countRunBy(from, confirmed, confirmed.Add(3*time.Second)); late == 0 {
			record("round %d: version %08x is in force", round, version)
			continue
		}
		late, last := m.countRunBy(from, confirmed, confirmed.Add(30*time.Second))
		finish(true, "round %d: %d requests that were sent over 5 s after version %08x was confirmed were run by the service of the version before, the last sent %.1f s after it",
			round, late, version, last.Seconds())
	}
	finish(false, "in 6 rounds every version was in force 2.5 s after it was confirmed")
}

// countRunBy sends requests to all nodes until a time, and returns how many of them a service ran and when the last of these was
// sent.
func (m *mesh) countRunBy(service string, since, until time.Time) (count int, last time.Duration) {
	for time.Now().Before(until) {
		for _, n := range m.nodes {
			a := get(n, "/lohu930/2f", 800)
			for _, r := range m.journal.all() {
				if r.id == a.id && r.service == service {
					count++
					last = a.sent.Sub(since)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return count, last
}

// restoredLeave: the store comes back from a copy of before a leave that was confirmed, and the node that confirmed it is stopped
// and started again while a status report of before is on its way. Counted are requests that were sent when the store had been
// calm, and that node had run, for stable-window-ms.
func restoredLeave(trouble bool) {
	m := newMesh()
	for _, name := range []string{"larvik-1", "larvik-2", "horten-1", "horten-2"} {
		m.addNode(name, name[:6], "huvo11a", nil)
	}
	m.configure(3, []string{"huvo11a"}, []route{{Name: "r-1", Prefix: "/lohu930/", Kind: "idempotent", TimeoutMs: 800, TargetLatency: 300, Priority: 1, Service: "huvo11a", MaxAttempts: 2}})
	m.startAll("/lohu930/2f")
	time.Sleep(4 * time.Second)

	older := m.store.copyNow()
	record("store   is copied at revision %d", older.revision)
	time.Sleep(time.Second)
	leaving := m.nodes[0]
	leaving.up.beQuiet()
	delayed := leaving.up.report("ready") // its last status report, which is on its way for four seconds
	reported := time.Now()
	record("report  %s: ready, delayed", leaving.up.instance)
	time.Sleep(100 * time.Millisecond)
	confirmed := leaving.up.deregister()
	record("leave   of %s is confirmed; the store holds %v", leaving.up.instance, m.store.keys("rosemaryhatch/"))
	time.Sleep(500 * time.Millisecond)
	if trouble {
		m.drill(older)
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	leaving.signal(syscall.SIGTERM)
	<-leaving.done
	m.start(leaving)
	restarted := time.Now()
	time.Sleep(time.Until(reported.Add(4 * time.Second)))
	status, err := leaving.up.post("/v1/register/", delayed)
	record("report  %s: ready, arrives %.1f s late: %d %v", leaving.up.instance, time.Since(reported).Seconds(), status, err)
	time.Sleep(time.Until(restarted.Add(stableWindow)))
	record("calm    the store and all nodes were left alone for %v", stableWindow)
	sent := map[string]time.Time{}
	for time.Since(restarted) < stableWindow+5*time.Second {
		for _, n := range m.nodes[1:] {
			a := get(n, "/lohu930/2f", 800)
			sent[a.id] = a.sent
		}
		time.Sleep(50 * time.Millisecond)
	}
	late, last := 0, time.Duration(0)
	for _, r := range m.journal.all() {
		if _, counts := sent[r.id]; counts && r.instance == leaving.up.instance {
			late++
			last = r.at.Sub(confirmed)
		}
	}
	finish(late > 0, "%d of %d requests reached %s after its leave was confirmed, the last %.1f s after; drain-ms is 2 s", late, len(sent), leaving.up.instance, last.Seconds())
}
