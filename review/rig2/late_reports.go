package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of ljosaskodun-hq.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
)

// host is the host of all routes.
const host = "ficu95.example"

func configText(version int, paths string) []byte {
	return fmt.Appendf(nil, `{"version":"%08x","services":[{"name":"counter-desk","health-path":"/health","max-connections":130,"protocol":"h1","tls":false},`+
		`{"name":"approval-office","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"virtual-hosts":[{"host":"%s","paths":[%s]}]}`, version, host, paths)
}

func routeText(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":"%s","prefix":"%s","kind":"idempotent","timeout-ms":800,"target-latency-ms":300,"priority":1,"service":"%s","max-attempts":2}`, name, prefix, service)
}

// scene is what the cases about a leaving upstream share: two services of two upstreams in two zones, of which one leaves.
type scene struct {
	rig       *rig
	leaving   *upstream
	machine   *node   // beside the leaving upstream
	calm      []*node // that take the requests of the clients
	began     time.Time
	client    *client
	stop      chan struct{}
	ended     chan struct{}
	confirmed time.Time // when the leaving was confirmed
	late      []chan struct{}
}

// firstLate is the sequence of the first status report that is late.
const firstLate = 8

// newScene starts the nodes, the status reports and the clients. The last status reports before the leaving are late.
func newScene(r *rig, lateReports int) (*scene, error) {
	r.store.operatorPut("op/config", configText(7, routeText("r-1", "/lohu930/", "counter-desk")))
	for i, zone := range []string{"selfoss", "selfoss", "hella", "hella"} {
		service := "counter-desk"
		if i >= 2 {
			service = "approval-office"
		}
		if err := r.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, service, 90*time.Millisecond); err != nil {
			return nil, err
		}
	}
	s := &scene{rig: r, leaving: r.upstreams[0], machine: r.nodes[0], calm: r.nodes[2:], client: newClient(r.record, host), stop: make(chan struct{}), ended: make(chan struct{})}
	for range lateReports {
		s.late = append(s.late, make(chan struct{}))
	}
	s.leaving.hold = func(sequence int) <-chan struct{} {
		if i := sequence - firstLate; i >= 0 && i < len(s.late) {
			return s.late[i]
		}
		return nil
	}
	s.began = time.Now()
	r.report()
	if err := awaitReady(r.nodes, 10*time.Second); err != nil {
		return nil, err
	}
	go func() {
		s.client.load(s.calm, http.MethodGet, "/lohu930/2f", 40*time.Millisecond, 800*time.Millisecond, s.stop)
		close(s.ended)
	}()
	// The late reports have been sent and the next one has not.
	time.Sleep(time.Until(s.began.Add(time.Duration(firstLate+len(s.late)-2)*1500*time.Millisecond + 300*time.Millisecond)))
	return s, nil
}

// leave sends the deregistration, which has to be confirmed.
func (s *scene) leave() error {
	if !s.leaving.leave() {
		return fmt.Errorf("the deregistration was not confirmed")
	}
	s.confirmed = time.Now()
	return nil
}

// restart kills the process beside the leaving upstream and starts it again half a second later.
func (s *scene) restart() error {
	s.machine.kill()
	s.rig.record.line("%s is killed", s.machine.name)
	time.Sleep(500 * time.Millisecond)
	if err := s.machine.start(); err != nil {
		return err
	}
	s.rig.record.line("%s starts again", s.machine.name)
	return nil
}

// releaseReports lets the late reports arrive in their order.
func (s *scene) releaseReports() {
	for _, late := range s.late {
		close(late)
		time.Sleep(time.Millisecond)
	}
}

// judge waits until two and a half seconds after all machines are in touch again and counts the requests that broke DRAIN.
func (s *scene) judge(inTouch time.Time) bool {
	r := s.rig
	time.Sleep(time.Until(inTouch.Add(2500 * time.Millisecond)))
	close(s.stop)
	<-s.ended
	from := s.confirmed.Add(drainTime)
	if inTouch.After(from) {
		from = inTouch
	}
	sentAt := map[string]sent{}
	for _, request := range s.client.answers() {
		sentAt[request.id] = request
	}
	broken := 0
	for _, run := range s.leaving.runsSince(from) {
		if request, ok := sentAt[run.id]; ok && request.at.After(from) {
			if broken++; broken <= 5 {
				r.record.line("%s, sent to %s at %.3f s, was run at %.3f s by %s, which had its leaving confirmed at %.3f s", run.id, request.node, r.record.at(request.at),
					r.record.at(run.at), run.upstream, r.record.at(s.confirmed))
			}
		}
	}
	r.record.line("%d requests reached %s later than %.1f s after its confirmation, taken and sent on by machines in touch", broken, s.leaving.id, drainTime.Seconds())
	return broken > 0
}

// lateReports: an upstream deregisters and gets its confirmation; the process beside it is killed and starts again; two
// status reports of before arrive late, one right after the other. The rule is DRAIN.
func lateReports(r *rig) (bool, error) {
	s, err := newScene(r, 2)
	if err != nil {
		return false, err
	}
	if err := s.leave(); err != nil {
		return false, err
	}
	inTouch := s.confirmed
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		if err := s.restart(); err != nil {
			return false, err
		}
		if err := awaitReady([]*node{s.machine}, 10*time.Second); err != nil {
			return false, err
		}
		r.record.line("%s is ready", s.machine.name)
		inTouch = time.Now().Add(stableWindow)
	} else {
		time.Sleep(2 * time.Second)
	}
	s.releaseReports()
	return s.judge(inTouch), nil
}
