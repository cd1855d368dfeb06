package peer

import (
	"net"
	"syscall"
	"time"
)

// writeTimeout bounds the wait for a peer that does not read a frame. net/rpc holds a lock while it writes, which delays the
// other messages on the connection.
const writeTimeout = 2 * time.Second

// immediateWriter is a connection that can write without waiting.
type immediateWriter interface {
	// writeNow writes as much of p as the connection takes at once and returns its length.
	writeNow(p []byte) (int, error)
}

// writeFrame writes a frame. A deadline is set only if the socket does not take the whole frame at once: the timer of a
// deadline that is moved on with each frame wakes a thread for nothing each time the earlier deadline has come.
func writeFrame(conn net.Conn, frame []byte) error {
	if w, ok := conn.(immediateWriter); ok {
		n, err := w.writeNow(frame)
		if err != nil || n == len(frame) {
			return err
		}
		frame = frame[n:]
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(frame); err != nil {
		return err
	}
	return conn.SetWriteDeadline(time.Time{}) // writeNow fails once a deadline has passed
}

// rawConnOf returns the socket of a connection, or nil if it has none.
func rawConnOf(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// writeNow implements immediateWriter. It writes nothing if the connection is not a socket.
func (c *observedConn) writeNow(p []byte) (int, error) {
	if c.raw == nil {
		return 0, nil
	}
	written := 0
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		for {
			written, writeErr = syscall.Write(int(fd), p)
			if writeErr != syscall.EINTR {
				return true // do not wait until the socket is writable
			}
		}
	})
	written = max(written, 0)
	c.observer.BytesOut(c.class, written)
	switch {
	case err != nil:
		return written, err
	case writeErr == syscall.EAGAIN:
		return written, nil
	case writeErr != nil:
		return written, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: writeErr}
	}
	return written, nil
}
