package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is one request that an upstream received.
type arrival struct {
	at       time.Time
	id       string
	instance string
	service  string
	path     string // as it stood in the request line
	status   int    // what the upstream answered; 0 while it works or when it broke off
	ended    time.Time
}

// upstream is a stand-in for an application server beside a node. It runs at most slots requests at a time, queues as
// many as it is sent, and stops work when the connection of a request closes or its time budget is over.
type upstream struct {
	r       *run
	node    *node
	id      string
	born    int64
	slots   int
	address string

	mu       sync.Mutex
	seq      uint64
	state    string // what it says of itself
	arrivals []*arrival
	server   *http.Server
	stopBeat context.CancelFunc
	sem      chan struct{}
	work     func(r *http.Request) time.Duration
	// spoil, when set, may answer a request itself, with bytes that are no answer; it returns true then.
	spoil func(a *arrival, r *http.Request, w http.ResponseWriter) bool
}

func startUpstream(r *run, n *node, id string, slots int, work func(*http.Request) time.Duration) (*upstream, error) {
	u := &upstream{
		r: r, node: n, id: id, born: time.Now().UnixMilli(), slots: slots, address: n.ip + ":8145", state: "ready",
		sem: make(chan struct{}, slots), work: work,
	}
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	u.stopBeat = cancel
	go u.beatForever(ctx)
	return u, nil
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{at: time.Now(), id: id, instance: u.id, service: u.node.service, path: r.RequestURI}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, a)
	u.mu.Unlock()
	budget := time.Second
	if ms := r.Header.Get("Deadline-Ms"); ms != "" {
		var n int64
		fmt.Sscan(ms, &n)
		budget = time.Duration(n) * time.Millisecond
	}
	select {
	case u.sem <- struct{}{}:
		defer func() { <-u.sem }()
	case <-r.Context().Done():
		u.end(a, 0)
		return
	}
	if u.spoil != nil && u.spoil(a, r, w) {
		u.end(a, 0)
		return
	}
	work := u.work(r)
	select {
	case <-time.After(min(work, budget)):
	case <-r.Context().Done():
		u.end(a, 0)
		return
	}
	status := http.StatusOK
	if work > budget {
		status = http.StatusGatewayTimeout
	}
	h := fnv.New32a()
	h.Write(body)
	w.Header().Set("Server-Seal", fmt.Sprintf("%s.%08x", id, h.Sum32()))
	text := fmt.Sprintf("answer of %s of %s to %s\n", u.id, u.node.service, id)
	u.end(a, status)
	w.WriteHeader(status)
	io.WriteString(w, text)
}

func (u *upstream) end(a *arrival, status int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a.status, a.ended = status, time.Now()
}

func (u *upstream) all() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]arrival, len(u.arrivals))
	for i, a := range u.arrivals {
		out[i] = *a
	}
	return out
}

// report returns the body of the next status report.
func (u *upstream) report() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	return map[string]any{
		"service": u.node.service, "address": u.address, "zone": u.node.zone, "version": "v1", "slots": u.slots,
		"state": u.state, "cold_left_ms": 0, "sequence": u.seq, "born": u.born,
	}
}

// leave says that the upstream leaves, and reports whether that was confirmed.
func (u *upstream) leave() bool {
	return u.send("/v1/deregister/"+u.id, map[string]any{"born": u.born})
}

// send posts a call to the node's control address and reports whether it was acknowledged within a second.
func (u *upstream) send(path string, body any) bool {
	text, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.node.ip+":8144"+path, bytes.NewReader(text))
	request.Header.Set("Content-Type", "application/json")
	response, err := beatClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

var beatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

const heartbeat = 1500 * time.Millisecond

func (u *upstream) beatForever(ctx context.Context) {
	for {
		wait := heartbeat
		if !u.send("/v1/register/"+u.id, u.report()) {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// exit ends the upstream: its connections are closed.
func (u *upstream) exit() {
	u.stopBeat()
	u.server.Close()
}

// endless writes the head of a success and then bytes without end, at a rate, until the caller closes.
func endless(a *arrival, w http.ResponseWriter, perSecond int) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	out := bufio.NewWriter(buffered)
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.0\r\n\r\n", a.id, a.id)
	out.Flush()
	buffered.Flush()
	part := bytes.Repeat([]byte("x"), perSecond/20)
	for {
		conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write(part); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
