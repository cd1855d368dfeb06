package ingress

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener of a node. Multipath TCP is off: its sockets take no packet filter, which the
// end of a listener needs.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

const (
	// tcpFlagsOffset is where the flags are in a TCP header, in bytes.
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
	// wholePacket keeps a packet as it is; dropPacket drops it.
	wholePacket = 0xffffffff
	dropPacket  = 0
)

// establishedOnly drops the first packet of each new connection. The last packet of a handshake passes, so
// that a connection which the kernel has answered already is completed.
var establishedOnly = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipTrue: 1},
	bpf.RetConstant{Val: wholePacket},
	bpf.RetConstant{Val: dropPacket},
}

// stopConnecting makes the kernel complete no further connection of a TCP listener, without closing it. A
// caller that connects meanwhile sends its first packet again after a second, and is refused then.
func stopConnecting(listener net.Listener) error {
	inner, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	program, err := assemble(establishedOnly)
	if err != nil {
		return err
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) {
		result = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil {
		return err
	}
	return result
}

func assemble(instructions []bpf.Instruction) (*unix.SockFprog, error) {
	assembled, err := bpf.Assemble(instructions)
	if err != nil {
		return nil, err
	}
	program := make([]unix.SockFilter, len(assembled))
	for i, in := range assembled {
		program[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	return &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}, nil
}
