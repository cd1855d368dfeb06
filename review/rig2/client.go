package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client and its answer.
type sent struct {
	id       string
	node     string
	at       time.Time
	ended    time.Time
	status   int    // 0 without an answer
	upstream string // that ran it, by its answer
}

// client sends requests to nodes, each on a new connection.
type client struct {
	record *record
	host   string
	http   *http.Client

	mu   sync.Mutex
	next int
	all  []sent
}

func newClient(rec *record, host string) *client {
	return &client{record: rec, host: host, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one request and waits for its answer.
func (c *client) send(n *node, method, path string, deadline time.Duration) sent {
	c.mu.Lock()
	c.next++
	id := "a" + strconv.Itoa(100000+c.next)
	c.mu.Unlock()
	request, err := http.NewRequest(method, "http://"+n.callers+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	s := sent{id: id, node: n.name, at: time.Now()}
	c.record.line("client sends %s to %s: %s %s", id, n.name, method, path)
	response, err := c.http.Do(request)
	if err == nil {
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		s.status = response.StatusCode
		if response.Header.Get("Server-Seal") != "" {
			s.upstream, _, _ = strings.Cut(string(body), " ")
		}
	}
	s.ended = time.Now()
	c.record.line("client gets %d for %s %s", s.status, id, s.upstream)
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	return s
}

// answers returns the requests that have ended.
func (c *client) answers() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}

// load sends a request to each of the nodes in turn, one every gap, until stop is closed. It returns when all have ended.
func (c *client) load(nodes []*node, method, path string, gap, deadline time.Duration, stop <-chan struct{}) {
	var waiting sync.WaitGroup
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			waiting.Wait()
			return
		case <-ticker.C:
		}
		n := nodes[i%len(nodes)]
		waiting.Go(func() { c.send(n, method, path, deadline) })
	}
}
