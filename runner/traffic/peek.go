package traffic

import (
	"net"
	"syscall"
)

// Peek looks at what waits to be read on a connection without blocking: whether bytes have arrived, and whether
// the other side has closed or reset it. On a connection that is not a socket it sees nothing.
func Peek(conn net.Conn) (arrived, ended bool) {
	inner, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false, true
	}
	// Control runs although a read deadline may have passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return arrived, ended || err != nil
}
