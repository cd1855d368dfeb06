package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Versions of the protocol that this node speaks.
const (
	lowestVersion  = 1
	highestVersion = 1
)

// Class is the use of a connection. A long body on a bulk connection does not hold up heartbeats or
// short calls.
type Class uint8

// The classes of connections.
const (
	ClassControl Class = iota + 1
	ClassCall
	ClassBulk
)

const (
	preface              = "RMH1"
	helloTimeout         = 2 * time.Second
	maxHelloBytes        = 1024
	maxCallBodyBytes     = 64 << 10 // larger bodies use a bulk connection
	maxCallFrameBytes    = 128 << 10
	maxControlFrameBytes = 2 << 20
	maxBulkFrameBytes    = 8<<20 + 64<<10
)

// maxRequestBytes returns the bound of a frame that carries a request.
func (c Class) maxRequestBytes() int {
	switch c {
	case ClassControl:
		return maxControlFrameBytes
	case ClassCall:
		return maxCallFrameBytes
	default:
		return maxBulkFrameBytes
	}
}

// maxResponseBytes returns the bound of a frame that carries a response. The response to a short call may be
// long.
func (c Class) maxResponseBytes() int {
	if c == ClassControl {
		return maxControlFrameBytes
	}
	return maxBulkFrameBytes
}

func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassCall:
		return "call"
	case ClassBulk:
		return "bulk"
	default:
		return "invalid"
	}
}

// hello opens a connection in each direction.
type hello struct {
	Lowest      uint32
	Highest     uint32
	System      string
	Node        string
	Incarnation uint64
	Address     string
	Class       uint8
	Refusal     string // in the answer: why the connection is refused
	// Types is a hash of the sender's type stream; control connections between equal ones leave it out.
	Types uint64

	wireBytes int // size on the wire, of one that was read
}

// Identity is what a node says of itself when a connection is opened.
type Identity struct {
	System string
	Ref    reducer.PeerRef
	// Lowest and Highest are the protocol versions that the node speaks.
	Lowest, Highest uint32

	typesHash uint64 // hash of the type stream
}

// NewIdentity returns the identity of a node that speaks the versions of this program.
func NewIdentity(system string, ref reducer.PeerRef) Identity {
	return Identity{System: system, Ref: ref, Lowest: lowestVersion, Highest: highestVersion, typesHash: typeStreamHash()}
}

func typeStreamHash() uint64 {
	h := fnv.New64a()
	h.Write(typeStream) // a hash takes all writes
	return h.Sum64()
}

// omitsTypeStream reports whether both sides leave out the type stream on a connection of a class. A node that does
// not know the field sends 0.
func (i Identity) omitsTypeStream(peer hello, class Class) bool {
	return class == ClassControl && i.typesHash != 0 && peer.Types == i.typesHash
}

// negotiateVersion returns the highest protocol negotiateVersion that both sides speak. Each side works it out on its own
// from the two hellos.
func (i Identity) negotiateVersion(peer hello) uint32 { return min(i.Highest, peer.Highest) }

func (i Identity) hello(class Class) hello {
	return hello{
		Lowest: i.Lowest, Highest: i.Highest, System: i.System, Node: string(i.Ref.Node),
		Incarnation: uint64(i.Ref.Incarnation), Address: i.Ref.Address, Class: uint8(class), Types: i.typesHash,
	}
}

func (h hello) peerRef() reducer.PeerRef {
	return reducer.PeerRef{Node: reducer.NodeID(h.Node), Address: h.Address, Incarnation: reducer.Incarnation(h.Incarnation)}
}

// refusalError says why a connection is refused. Reason is a short label for counters.
type refusalError struct{ reason, text string }

func (e *refusalError) Error() string { return e.text }

func refusef(reason, format string, args ...any) *refusalError {
	return &refusalError{reason: reason, text: fmt.Sprintf(format, args...)}
}

// busyRefusal is the refusal of a node that serves as many handshakes as it may.
const busyRefusal = "busy"

// errBusy reports that the peer asks to be tried again later.
var errBusy = errors.New("peer is busy with other handshakes")

// checkHello says why a peer's hello cannot be accepted, or returns nil.
func (i Identity) checkHello(peer hello) *refusalError {
	switch {
	case peer.System != i.System:
		return refusef("system", "system is %q, expected %q", peer.System, i.System)
	case peer.Highest < i.Lowest || peer.Lowest > i.Highest:
		return refusef("version", "protocol versions %d to %d, expected one of %d to %d", peer.Lowest, peer.Highest, i.Lowest, i.Highest)
	case peer.Class < uint8(ClassControl) || peer.Class > uint8(ClassBulk):
		return refusef("class", "connection class is %d, expected 1 to 3", peer.Class)
	case peer.Node == "":
		return refusef("node", "node is empty")
	}
	return nil
}

// writeHello sends the preface and a hello as one frame, and returns its size.
func writeHello(conn net.Conn, h hello) (int, error) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(h); err != nil {
		return 0, err
	}
	size := body.Len()
	frame := append([]byte(preface), byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	return conn.Write(append(frame, body.Bytes()...))
}

func readHello(r *bufio.Reader) (hello, error) {
	var h hello
	start := make([]byte, len(preface))
	if _, err := io.ReadFull(r, start); err != nil {
		return h, err
	}
	if string(start) != preface {
		return h, refusef("preface", "preface is %q, expected %q", start, preface)
	}
	frames := &frameReader{r: r, max: maxHelloBytes}
	if err := frames.next(); err != nil {
		return h, err
	}
	h.wireBytes = len(preface) + frameHeaderBytes + frames.size
	if err := gob.NewDecoder(frames).Decode(&h); err != nil {
		return h, err
	}
	return h, frames.skip()
}
