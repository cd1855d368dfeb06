package peer

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// shortConn takes only some bytes at once and records the deadlines.
type shortConn struct {
	net.Conn
	atOnce    int
	received  bytes.Buffer
	deadlines []bool // whether each deadline was set, not cleared
}

func (c *shortConn) writeNow(p []byte) (int, error) { return c.Write(p[:min(len(p), c.atOnce)]) }

func (c *shortConn) Write(p []byte) (int, error) { return c.received.Write(p) }

func (c *shortConn) SetWriteDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, !t.IsZero())
	return nil
}

// Guards against a write without a deadline to a peer that does not read, and against a deadline that stays and fails the
// next frame.
func TestDeadlineOnlyForWritesThatWait(t *testing.T) {
	frame := []byte("frame")
	for atOnce, want := range map[int][]bool{0: {true, false}, 3: {true, false}, len(frame): nil} {
		c := &shortConn{atOnce: atOnce}
		if err := writeFrame(c, frame); err != nil || c.received.String() != "frame" || !slices.Equal(c.deadlines, want) {
			t.Errorf("%d bytes at once: wrote %q with deadlines %v, error %v", atOnce, c.received.String(), c.deadlines, err)
		}
	}
}

// Guards against bytes that are lost or repeated where the socket takes a part of a frame, and against a write to a closed
// connection that counts as done.
func TestLongFrameToSlowReader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if near.(*net.TCPConn).SetWriteBuffer(16<<10) != nil || far.(*net.TCPConn).SetReadBuffer(16<<10) != nil {
		t.Fatal("the buffers of the sockets cannot be set")
	}
	conn := &observedConn{Conn: near, raw: rawConnOf(near), observer: nopObserver{}}
	frame := make([]byte, 4<<20) // more than the kernel takes at once
	for i := range frame {
		frame[i] = byte(i>>16 + i)
	}
	written := make(chan error, 1)
	go func() {
		written <- writeFrame(conn, frame)
		near.Close()
	}()
	got, err := io.ReadAll(far)
	if err != nil || !bytes.Equal(got, frame) {
		t.Errorf("received %d bytes, error %v", len(got), err)
	}
	if err := <-written; err != nil {
		t.Errorf("the write failed: %v", err)
	}
	if err := writeFrame(conn, frame[:1]); err == nil {
		t.Error("a write to a closed connection did not fail")
	}
}
