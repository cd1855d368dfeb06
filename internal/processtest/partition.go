package processtest

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"sync"

	"github.com/samber/oops"
)

// Partition simulates a network partition between availability zones with forwarders. While it lasts, no bytes pass on
// open connections that cross it, and new connections are accepted but not answered. Bytes that were sent meanwhile
// arrive when it ends, as TCP retransmits them. With RefuseConnections, the open and the new connections are closed
// instead.
type Partition struct {
	RefuseConnections bool
	forwarders        []*Forwarder
	mu                sync.Mutex
	ended             chan struct{} // closed when the partition ends; nil if there is none
}

// Begin starts the partition.
func (p *Partition) Begin() {
	p.mu.Lock()
	p.ended = make(chan struct{})
	p.mu.Unlock()
	if p.RefuseConnections {
		for _, f := range p.forwarders {
			f.cutCrossing()
		}
	}
}

// End lets connections and bytes pass again.
func (p *Partition) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		close(p.ended)
		p.ended = nil
	}
}

// Close ends the partition and closes its forwarders.
func (p *Partition) Close() {
	p.End()
	for _, f := range p.forwarders {
		f.Close()
	}
}

func (p *Partition) endSignal() <-chan struct{} {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// waitUntilEnded returns when the current partition has ended, and at once if there is none.
func (p *Partition) waitUntilEnded() {
	if ended := p.endSignal(); ended != nil {
		<-ended
	}
}

// admitConnection waits until a new connection may pass and returns true, or returns false at once if the partition
// refuses it.
func (p *Partition) admitConnection() bool {
	if p.endSignal() != nil && p.RefuseConnections {
		return false
	}
	p.waitUntilEnded()
	return true
}

// Install starts a forwarder in front of the peer listener of each place, where connections from nodes of other zones cross
// the partition. The nodes of cutOffZone also reach the platform across the partition. Call it before c.Start.
func (p *Partition) Install(c *Cluster, cutOffZone string) error {
	platform, err := p.addForwarder(c.platformAddress, nil)
	if err != nil {
		return err
	}
	zones := map[string]string{}
	for _, place := range c.Places {
		zones[place.ID] = place.Zone
		if place.Zone == cutOffZone {
			c.PlatformAddresses[place] = platform
		}
	}
	for _, place := range c.Places {
		place.AdvertisePeers, err = p.addForwarder(place.Peers, func(node string) bool { return zones[node] != place.Zone })
		if err != nil {
			return err
		}
	}
	return nil
}

// addForwarder starts a forwarder to target and returns the address at which it listens. crossesPartition reports whether
// connections of a node cross the partition; if it is nil, all do.
func (p *Partition) addForwarder(target string, crossesPartition func(node string) bool) (string, error) {
	f, err := startForwarder(&Forwarder{target: target, partition: p, crossesPartition: crossesPartition})
	if err != nil {
		return "", oops.In("processtest").Wrap(err)
	}
	p.forwarders = append(p.forwarders, f)
	return f.Address(), nil
}

// readHandshake reads the preface and the hello frame with which a node starts a connection to a peer. It returns the name
// of the node and the bytes that it read.
func readHandshake(conn net.Conn) (node string, handshake []byte, err error) {
	const prefaceBytes, maxHelloBytes = 4, 1 << 16
	handshake = make([]byte, prefaceBytes+4)
	if _, err = io.ReadFull(conn, handshake); err != nil {
		return "", nil, err
	}
	size := binary.BigEndian.Uint32(handshake[prefaceBytes:])
	if size > maxHelloBytes {
		return "", nil, oops.In("processtest").Errorf("hello has %d bytes, expected at most %d", size, maxHelloBytes)
	}
	body := make([]byte, size)
	if _, err = io.ReadFull(conn, body); err != nil {
		return "", nil, err
	}
	var hello struct{ Node string }
	err = gob.NewDecoder(bytes.NewReader(body)).Decode(&hello)
	return hello.Node, append(handshake, body...), err
}
