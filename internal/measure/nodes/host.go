package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	_ "net/http/pprof"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/node"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const (
	// hostTimeout ends a child process that its parent has not ended.
	hostTimeout = 15 * time.Minute
	// startInterval separates the starts of the nodes of a child. At 5 ms, a fleet of 256 nodes had not formed after
	// 60 s on a machine with 10 cores and a load average of 25.
	startInterval = 100 * time.Millisecond
)

// hostOptions selects the nodes that a child process runs.
type hostOptions struct {
	zone, first, count int
	platform           string        // address
	backend            string        // address of the backend server of the nodes; empty if none is running
	register           bool          // register a backend server with each node
	startInterval      time.Duration // between the starts of two nodes
	linkMbps           float64       // of the instance; 0 if it is not known
	observed           bool          // run the only node as a product process does, and serve its profiles
	program            string        // path of the program to start; empty for this one
}

// run runs the nodes until standard input is closed, which happens when the parent ends, or until hostTimeout.
func (h hostOptions) run() {
	ctx, cancel := context.WithTimeout(context.Background(), hostTimeout)
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // only the end of the input matters
		cancel()
	}()
	if h.count == 1 && !h.observed {
		node.TuneRuntime(settings.Runtime{Processors: 2})
	}
	var logger log.Logger = &activationLogger{}
	if h.observed {
		node.TuneRuntime(settings.Runtime{Processors: 2, MemoryBytes: loadMemory})
		go http.ListenAndServe(address(h.zone, h.first, portProfile), nil) // net/http/pprof has registered its handlers
		logger = level.NewFilter(log.NewLogfmtLogger(log.NewSyncWriter(io.Discard)), level.AllowInfo())
		logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	}
	var nodes sync.WaitGroup
	for index := h.first; index < h.first+h.count; index++ {
		s := h.settings(index)
		listeners, err := node.Listen(s.Listen)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		n := node.New(s, listeners, kv.New(h.platform), logger)
		nodes.Go(func() { n.Run(ctx) })
		if h.register {
			go h.registerBackend(ctx, index)
		}
		time.Sleep(h.startInterval)
	}
	nodes.Wait()
	cancel()
}

// settings returns the settings of a node. Its seeds are the first nodes of all zones except itself.
func (h hostOptions) settings(index int) settings.Settings {
	var seeds []string
	for zone := range zones {
		if zone != h.zone || index != 0 {
			seeds = append(seeds, address(zone, 0, portPeers))
		}
	}
	return settings.Settings{
		Node: settings.Node{ID: nodeName(h.zone, index), Zone: zoneName(h.zone), System: "measure"},
		Listen: settings.Listen{
			Callers: address(h.zone, index, portCallers), Peers: address(h.zone, index, portPeers),
			Operator: address(h.zone, index, portOperator), Register: address(h.zone, index, portRegister),
		},
		Peers:    settings.Peers{Seeds: seeds},
		Platform: settings.Platform{Address: h.platform},
		Limits:   settings.Limits{Calls: 4096, BodyBytes: 128 << 20, QueuedBytes: 64 << 20, ResponseBytes: 64 << 20, Records: 100_000},
		Shutdown: settings.Shutdown{Timeout: time.Second},
		Instance: settings.Instance{LinkMbps: h.linkMbps},
		Log:      settings.Log{Level: "info", Format: "logfmt"},
	}
}

// registerBackend registers a backend server with a node once per second, as a real one does. If no backend server
// is running, it registers an address without a listener.
func (h hostOptions) registerBackend(ctx context.Context, index int) {
	in := backend.Registration{Service: serviceOf(h.zone, index), Address: h.backend, Slots: slots, State: backend.StateReady}
	if in.Address == "" {
		in.Address = "127.0.0.1:1"
	} else {
		in.Slots = 64
	}
	body, err := json.Marshal(in)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	url := "http://" + address(h.zone, index, portRegister) + backend.RegisterPath + "b1"
	for ctx.Err() == nil {
		if response, err := http.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			response.Body.Close()
		}
		time.Sleep(time.Second)
	}
}

// activationLogger is a logger that tells the parent when a version becomes active on a node.
type activationLogger struct{}

// Log implements log.Logger.
func (*activationLogger) Log(keyvals ...any) error {
	values := map[any]any{}
	for i := 0; i+1 < len(keyvals); i += 2 {
		values[keyvals[i]] = keyvals[i+1]
	}
	if values["msg"] == "configuration active" {
		fmt.Printf("%v %v %d\n", values["node"], values["version"], time.Now().UnixNano())
	}
	return nil
}

var _ log.Logger = (*activationLogger)(nil)
