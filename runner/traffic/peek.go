package traffic

import (
	"net"
	"syscall"
)

// Peek reports whether a connection has unread bytes, and whether the other side has closed or reset it. It does not
// block and reads nothing. Both results are false for a connection that is not a socket.
func Peek(conn net.Conn) (unread, ended bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, true
	}
	// Control, unlike Read, also runs after the read deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread, ended || err != nil
}
