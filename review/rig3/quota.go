package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["quota-cut"] = quotaCut }

// forwarder is a port forwarder in front of the peer listener of a node, at the address that the node announces.
type forwarder struct {
	listen, target string

	mu       sync.Mutex
	listener net.Listener
	links    [][2]net.Conn
}

func reset(conns ...net.Conn) {
	for _, c := range conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// open takes connections.
func (f *forwarder) open() {
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		blocked("forwarder: %v", err)
	}
	f.mu.Lock()
	f.listener = l
	f.mu.Unlock()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", f.target)
			if err != nil {
				reset(in)
				continue
			}
			f.mu.Lock()
			f.links = append(f.links, [2]net.Conn{in, out})
			f.mu.Unlock()
			go func() { io.Copy(in, out); reset(in, out) }()
			go func() { io.Copy(out, in); reset(in, out) }()
		}
	}()
}

// refuse resets the connections and refuses new ones.
func (f *forwarder) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener.Close()
	for _, l := range f.links {
		reset(l[0], l[1])
	}
	f.links = nil
}

// quotaCut: two zones of one node each refuse each other's connections for 6 s, and meanwhile a tenant sends 2.7 times its usual. What
// it sends on each side is below its rate; both together are above.
func quotaCut(trouble bool) {
	const (
		rate, burst = 100.0, 20.0
		window      = 5 * time.Second
		cutFor      = 6000 * time.Millisecond
		hotAfter    = 3200 * time.Millisecond // from the start of the cut
		hotFor      = 6500 * time.Millisecond
		usual, hot  = 36.0, 96.0 // requests a second at each node
	)
	allowed := int((rate*window.Seconds()+burst)*1.1 + 20)
	m := newMesh()
	var forwarders []*forwarder
	for _, name := range []string{"larvik-1", "horten-1"} {
		n := m.addNode(name, name[:6], "huvo11a", map[string]any{"quota-window-s": window.Seconds(), "quota-overage": 0.1, "quota-slack": 20})
		n.up.slots = 12
		n.up.work = func(*http.Request) time.Duration { return 3 * time.Millisecond }
		f := &forwarder{listen: freeAddress(), target: fmt.Sprintf("127.0.0.1:%d", n.values["internal-ports"].([]any)[0])}
		f.open()
		forwarders = append(forwarders, f)
		n.apiKey = "k-7c30"
		n.listenLine = "advertise_peers = " + f.listen
	}
	m.tenants = []any{map[string]any{"name": "t1", "api-keys": []string{m.nodes[0].apiKey}, "rate-per-s": rate, "burst": burst}}
	m.configure(3, []string{"huvo11a"}, []route{
		{Name: "r-1", Prefix: "/lohu930/", Kind: "idempotent", TimeoutMs: 1000, TargetLatency: 500, Priority: 1, Service: "huvo11a", MaxAttempts: 2},
	})
	m.startAll("/lohu930/2f")
	time.Sleep(3 * time.Second)

	var perSecond atomic.Uint64
	perSecond.Store(usual)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	stop := time.Now().Add(25 * time.Second)
	var wait sync.WaitGroup
	for _, n := range m.nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(stop) {
				wait.Add(1)
				go func() {
					defer wait.Done()
					a := get(n, "/lohu930/x", 1000)
					mu.Lock()
					sent[a.id] = a.sent
					mu.Unlock()
				}()
				time.Sleep(time.Second / time.Duration(perSecond.Load()))
			}
		}()
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, f := range forwarders {
			f.refuse()
		}
		record("cut     the zones refuse each other's connections")
	}
	time.Sleep(hotAfter)
	perSecond.Store(hot)
	record("hot     the tenant sends %v requests a second at each node", hot)
	time.Sleep(cutFor - hotAfter)
	if trouble {
		for _, f := range forwarders {
			f.open()
		}
		record("cut     has healed")
	}
	time.Sleep(hotFor - (cutFor - hotAfter))
	perSecond.Store(usual)
	record("hot     is over")
	wait.Wait()
	most, end := m.mostInWindow(sent, window)
	finish(most > allowed, "%d requests of the tenant were sent and ran in the 5 s until %.1f, allowed are %d", most, end.Sub(started).Seconds(), allowed)
}

// mostInWindow returns how many requests at most were both sent and run in some window, and when that window ended.
func (m *mesh) mostInWindow(sent map[string]time.Time, window time.Duration) (most int, end time.Time) {
	runs := m.journal.all()
	for _, from := range sent {
		count := 0
		for _, r := range runs {
			if at, ok := sent[r.id]; ok && !at.Before(from) && r.at.Sub(from) <= window {
				count++
			}
		}
		if count > most {
			most, end = count, from.Add(window)
		}
	}
	return most, end
}
