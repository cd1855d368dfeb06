package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// nodeRef identifies a node by its zone and its index within the zone.
type nodeRef struct{ zone, index int }

// reading holds figures from the metrics of one node.
type reading struct {
	in, out        float64 // control bytes
	alive          int     // members alive
	version        float64
	reducerSeconds float64            // seconds that the control thread spent in the reducer
	kinds          map[string]float64 // control bytes and messages, by metric name with labels
	ok             bool               // the node answered
}

const (
	scrapeWorkers = 8 // nodes that are read in parallel
	scrapeTimeout = 5 * time.Second
)

var scrapeClient = http.Client{Timeout: scrapeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// scrape reads the metrics of nodes in parallel and returns them in the same order.
func scrape(nodes []nodeRef) []reading {
	out := make([]reading, len(nodes))
	next := make(chan int)
	var work sync.WaitGroup
	for range scrapeWorkers {
		work.Go(func() {
			for i := range next {
				out[i] = scrapeOne(nodes[i])
			}
		})
	}
	for i := range nodes {
		next <- i
	}
	close(next)
	work.Wait()
	return out
}

// scrapeOne reads the metrics of a node; ok is false if the node does not answer.
func scrapeOne(node nodeRef) reading {
	response, err := scrapeClient.Get("http://" + address(node.zone, node.index, portOperator) + "/metrics")
	if err != nil {
		return reading{}
	}
	defer response.Body.Close()
	r := reading{ok: true, kinds: map[string]float64{}}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if err == nil {
			r.set(name, number)
		}
	}
	return r
}

func (r *reading) set(name string, value float64) {
	if strings.HasPrefix(name, "rosemaryhatch_peer_message") {
		r.kinds[name] = value
	}
	switch name {
	case `rosemaryhatch_peer_bytes_total{class="control",direction="in"}`:
		r.in = value
	case `rosemaryhatch_peer_bytes_total{class="control",direction="out"}`:
		r.out = value
	case `rosemaryhatch_members{state="alive"}`:
		r.alive = int(value)
	case "rosemaryhatch_config_version":
		r.version = value
	case "rosemaryhatch_reducer_event_seconds_sum":
		r.reducerSeconds = value
	}
}

// kindTable returns a table of control messages and bytes by kind, as the mean over the nodes. Kinds without any
// message are left out.
func kindTable(readings []reading) table {
	t := newTable("kind", "messages in", "out", "KB in", "out")
	for _, kind := range []string{
		"heartbeat", "member_update", "member_repair", "member_digest", "config_update", "config_fetch", "response", "hello",
		"types", "other",
	} {
		row := []string{kind}
		total := 0.0
		for _, figure := range []struct {
			family string
			unit   float64
		}{{"messages_total", 1}, {"message_bytes_total", 1000}} {
			for _, direction := range []string{"in", "out"} {
				sum := 0.0
				for _, r := range readings {
					sum += r.kinds[fmt.Sprintf("rosemaryhatch_peer_%s{kind=%q,direction=%q}", figure.family, kind, direction)]
				}
				total += sum
				row = append(row, formatNumber(sum/float64(len(readings))/figure.unit))
			}
		}
		if total > 0 {
			t.row(row...)
		}
	}
	return t
}

// traffic returns the mean and the highest number of control bytes per node, in and out together, between two
// series of readings. A nil before counts from zero.
func traffic(before, after []reading) (mean, highest float64) {
	for i := range after {
		bytes := after[i].in + after[i].out
		if i < len(before) {
			bytes -= before[i].in + before[i].out
		}
		mean += bytes / float64(len(after))
		highest = max(highest, bytes)
	}
	return mean, highest
}
