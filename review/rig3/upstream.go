package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that an upstream began to work on.
type run struct {
	at       time.Time
	instance string
	service  string
	id       string
	method   string
	uri      string
}

// journal holds the runs of all upstreams.
type journal struct {
	mu   sync.Mutex
	runs []run
}

func (j *journal) add(r run) {
	j.mu.Lock()
	j.runs = append(j.runs, r)
	j.mu.Unlock()
	record("run     %s at %s (%s) %s %s", r.id, r.instance, r.service, r.method, r.uri)
}

func (j *journal) all() []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]run(nil), j.runs...)
}

func (j *journal) count(id string) int {
	n := 0
	for _, r := range j.all() {
		if r.id == id {
			n++
		}
	}
	return n
}

// upstream is an application upstream beside a node.
type upstream struct {
	service, instance, address, control, zone string
	slots                                     int
	born                                      int64
	journal                                   *journal
	work                                      func(r *http.Request) time.Duration

	mu       sync.Mutex
	sequence int
	silent   bool // sends no more status reports
	loses    bool // loses three of ten answers
	served   int
	server   *http.Server
}

func (u *upstream) open() {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		blocked("upstream: %v", err)
	}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.instance)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.instance {
		w.Header().Set("Instance-Id", u.instance)
		w.WriteHeader(421)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	io.Copy(io.Discard, r.Body)
	u.journal.add(run{time.Now(), u.instance, u.service, id, r.Method, r.RequestURI})
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+u.instance+"."+id)
	select {
	case <-time.After(u.work(r)):
	case <-time.After(time.Duration(left) * time.Millisecond):
		w.WriteHeader(504)
		return
	case <-r.Context().Done():
		record("dropped %s at %s: its connection closed", id, u.instance)
		return
	}
	u.mu.Lock()
	u.served++
	lost := u.loses && u.served%10 < 3
	u.mu.Unlock()
	if lost {
		record("lost    answer of %s at %s", id, u.instance)
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "served by %s (%s)", u.instance, u.service)
}

// report returns the body of the next status report.
func (u *upstream) report(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"cold_left_ms": 0, "sequence": u.sequence, "born": u.born,
	})
	return body
}

func (u *upstream) post(path string, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+u.control+path+u.instance, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return answer.StatusCode, err
}

// beat sends status reports until the upstream is silent.
func (u *upstream) beat() {
	for {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if silent {
			return
		}
		u.post("/v1/register/", u.report("ready"))
		time.Sleep(beatInterval)
	}
}

func (u *upstream) beQuiet() {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
}

// deregister sends the leave until it is confirmed, and returns when that was.
func (u *upstream) deregister() time.Time {
	body, _ := json.Marshal(map[string]any{"born": u.born})
	for range 10 {
		status, err := u.post("/v1/deregister/", body)
		if err == nil && status/100 == 2 {
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	blocked("the leave was not confirmed")
	return time.Time{}
}
