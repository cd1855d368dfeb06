// Package link is a stand-in for the network link of an instance: a TCP proxy whose connections share a link of a limited
// rate in each direction, first in, first out.
package link

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// pieceBytes is the most that is read from a connection at a time.
	pieceBytes = 4 << 10
	// windowPieces is how many pieces of a connection may be under way: 256 KiB, as in the buffers of TCP.
	windowPieces = 64
	// smallBytes is the longest piece that counts as a small message. Large bodies are read in longer pieces.
	smallBytes = 2 << 10
)

// Direction is one direction of a link.
type Direction struct {
	mbps  float64
	mu    sync.Mutex
	busy  time.Time
	waits []time.Duration // of small messages, behind the bytes sent before them
}

// book returns when n bytes arrive that are sent now.
func (d *Direction) book(n int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.busy.Before(now) {
		d.busy = now
	}
	if n <= smallBytes {
		d.waits = append(d.waits, d.busy.Sub(now))
	}
	d.busy = d.busy.Add(time.Duration(float64(n) * 8e3 / d.mbps))
	return d.busy
}

// Wait returns a percentile of the waits of small messages on the link.
func (d *Direction) Wait(percent int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waits) == 0 {
		return 0
	}
	slices.Sort(d.waits)
	return d.waits[len(d.waits)*percent/100]
}

// Proxy passes connections to an address over a link.
type Proxy struct {
	Up, Down Direction // to the address and back
	listener net.Listener
	to       string
}

// Start starts a proxy to an address with a link of a rate in Mbit/s.
func Start(to string, mbps float64) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Up: Direction{mbps: mbps}, Down: Direction{mbps: mbps}, listener: listener, to: to}
	go p.accept()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops accepting connections. Open ones end with either side.
func (p *Proxy) Close() { p.listener.Close() }

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			client.Close()
			continue
		}
		go p.Up.carry(server, client)
		go p.Down.carry(client, server)
	}
}

type piece struct {
	at   time.Time
	data []byte
}

// carry moves bytes from a connection over the link until it ends.
func (d *Direction) carry(to, from net.Conn) {
	pieces := make(chan piece, windowPieces)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, pieceBytes)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			pieces <- piece{d.book(n), data[:n]}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		_, _ = to.Write(p.data) // an error shows on the other direction as well
	}
	to.Close()
}
