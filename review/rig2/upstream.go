package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	id       string
	upstream string
	at       time.Time
}

// upstream is a stand-in for an application upstream. It follows PROTOCOL.md: slots, Expect-Instance, Server-Seal, status
// reports every 1.5 s.
type upstream struct {
	record  *record
	node    *node
	id      string
	service string
	born    int64
	work    time.Duration
	slots   chan struct{}
	server  *http.Server
	stop    chan struct{}

	mu       sync.Mutex
	sequence int
	runs     []run
	silent   bool // no more status reports
	// loses, if set, tells whether the answer to a request that ran is lost: nothing comes on its connection any more.
	loses func() bool
	// hold, if set, keeps a status report on its way until the channel is closed.
	hold func(sequence int) <-chan struct{}
}

func newUpstream(rec *record, n *node, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{
		record: rec, node: n, id: "i-" + n.name, service: n.service, born: time.Now().UnixMilli(), work: work,
		slots: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", n.appServer)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) close() {
	close(u.stop)
	_ = u.server.Close()
}

// ServeHTTP implements http.Handler: it runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	u.mu.Lock()
	u.runs = append(u.runs, run{id, u.id, time.Now()})
	u.mu.Unlock()
	u.record.line("%s runs %s %s %s", u.id, id, r.Method, r.URL.Path)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	if u.loses != nil && u.loses() {
		u.record.line("%s has run %s, and its answer is lost", u.id, id)
		<-u.slots
		select { // the connection stays open
		case <-r.Context().Done():
		case <-u.stop:
		}
		u.slots <- struct{}{} // for the deferred release
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal-"+u.id+"-"+id)
	fmt.Fprintf(w, "%s %s %d", u.id, id, len(body))
}

// runsSince returns the runs that began after a time.
func (u *upstream) runsSince(t time.Time) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var later []run
	for _, r := range u.runs {
		if r.at.After(t) {
			later = append(later, r)
		}
	}
	return later
}

// report sends status reports until the upstream is silent or closed.
func (u *upstream) report() {
	for {
		u.mu.Lock()
		silent := u.silent
		if !silent {
			u.sequence++
		}
		sequence := u.sequence
		u.mu.Unlock()
		if silent {
			return
		}
		go u.sendReport(sequence)
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-u.stop:
			return
		}
	}
}

func (u *upstream) sendReport(sequence int) {
	body, _ := json.Marshal(map[string]any{ // cannot fail
		"service": u.service, "address": u.node.appServer, "zone": u.node.zone, "version": "v1", "slots": cap(u.slots),
		"state": "ready", "cold_left_ms": 0, "sequence": sequence, "born": u.born,
	})
	if u.hold != nil {
		if released := u.hold(sequence); released != nil {
			u.record.line("%s reports ready, sequence %d: the report is late", u.id, sequence)
			select {
			case <-released:
			case <-u.stop:
				return
			}
			// Its sender has given it up after a second: the node sees the report and then the end of the connection.
			err := u.postAndClose("/v1/register/"+u.id, body)
			u.record.line("%s: late report with sequence %d arrives, error %v", u.id, sequence, err)
			return
		}
	}
	status := u.post("/v1/register/"+u.id, body)
	u.record.line("%s: report with sequence %d arrives, answered %s", u.id, sequence, status)
}

// leave stops the status reports and sends the deregistration. It returns when that is confirmed.
func (u *upstream) leave() bool {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": u.born}) // cannot fail
	status := u.post("/v1/deregister/"+u.id, body)
	u.record.line("%s deregisters, answered %s", u.id, status)
	return status == "200 OK"
}

// postAndClose sends a call and closes the connection without waiting for the answer.
func (u *upstream) postAndClose(path string, body []byte) error {
	conn, err := net.Dial("tcp", u.node.control)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, u.node.control, len(body), body)
	return err
}

func (u *upstream) post(path string, body []byte) string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.node.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	response.Body.Close()
	return response.Status
}
