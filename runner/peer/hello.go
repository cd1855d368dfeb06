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

// The range of protocol versions that this program supports.
const (
	lowestVersion  = 1
	highestVersion = 1
)

// Class says which messages a connection carries. Connections of separate classes keep a long body from delaying
// heartbeats and short calls.
type Class uint8

// The classes of connections.
const (
	ClassControl Class = iota + 1 // control messages, cancellations and Settle
	ClassCall                     // calls
	ClassBulk                     // calls with a long body or headers, and records of idempotency keys
)

const (
	preface              = "RMH1"          // first bytes in each direction of a connection
	helloTimeout         = 2 * time.Second // bounds the whole handshake
	maxHelloBytes        = 1024
	maxCallBodyBytes     = 64 << 10 // larger bodies use a bulk connection
	maxCallFrameBytes    = 128 << 10
	maxControlFrameBytes = 2 << 20
	maxBulkFrameBytes    = 8<<20 + 64<<10
)

// maxRequestBytes returns the largest size of a frame that carries a request, in bytes without the frame header.
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

// maxResponseBytes returns the largest size of a frame that carries a response, in bytes without the frame header. On
// call connections it is that of bulk connections, because the response to a short request may be long.
func (c Class) maxResponseBytes() int {
	if c == ClassControl {
		return maxControlFrameBytes
	}
	return maxBulkFrameBytes
}

// String returns the name of the class in metrics.
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

// hello is the first message on a connection, in each direction. gob writes the exported fields under their names.
type hello struct {
	Lowest      uint32
	Highest     uint32
	System      string
	Node        string
	Incarnation uint64
	Address     string
	Class       uint8
	Refusal     string // in the reply: why the connection is refused; empty when it is accepted
	// Types is a hash of the sender's type stream, which a control connection omits when both sides have the same hash.
	Types uint64

	wireBytes int // size on the wire of a hello that was read, including preface and frame header
}

// Identity is the information about a node that it sends in a hello.
type Identity struct {
	System string
	Ref    reducer.PeerRef
	// Lowest and Highest are the range of protocol versions that the node supports.
	Lowest, Highest uint32

	typesHash uint64 // hash of the type stream
}

// NewIdentity returns the identity of a node of the named system that supports the protocol versions of this program.
func NewIdentity(system string, ref reducer.PeerRef) Identity {
	return Identity{System: system, Ref: ref, Lowest: lowestVersion, Highest: highestVersion, typesHash: typeStreamHash()}
}

func typeStreamHash() uint64 {
	h := fnv.New64a()
	h.Write(typeStream) // never returns an error
	return h.Sum64()
}

// omitsTypeStream reports whether both sides omit the type stream on a connection of a class. The hash is 0 from a node
// that does not know the field.
func (i Identity) omitsTypeStream(peer hello, class Class) bool {
	return class == ClassControl && i.typesHash != 0 && peer.Types == i.typesHash
}

// negotiateVersion returns the highest protocol version that both sides support. Each side computes it from the two
// hellos.
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

// refusalError says why a connection is refused; reason is the label of the metric for refusals.
type refusalError struct{ reason, text string }

func (e *refusalError) Error() string { return e.text }

func refusef(reason, format string, args ...any) *refusalError {
	return &refusalError{reason: reason, text: fmt.Sprintf(format, args...)}
}

// busyRefusal is the refusal of a node that is serving maxHandshakes handshakes.
const busyRefusal = "busy"

// errBusy is returned when a peer refuses a connection with busyRefusal; the connection may be retried later.
var errBusy = errors.New("peer is busy with other handshakes")

// checkHello returns why a peer's hello is refused, or nil.
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

// writeHello sends the preface and a hello in a frame, and returns the number of bytes written.
func writeHello(conn net.Conn, h hello) (int, error) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(h); err != nil {
		return 0, err
	}
	size := body.Len()
	frame := append([]byte(preface), byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	return conn.Write(append(frame, body.Bytes()...))
}

// readHello reads the preface and a hello. The error is a refusalError when the preface is wrong.
func readHello(r *bufio.Reader) (hello, error) {
	var h hello
	got := make([]byte, len(preface))
	if _, err := io.ReadFull(r, got); err != nil {
		return h, err
	}
	if string(got) != preface {
		return h, refusef("preface", "preface is %q, expected %q", got, preface)
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
