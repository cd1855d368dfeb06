package ingress

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Listen opens a TCP listener of a node. Multipath TCP is off because its sockets do not accept a packet filter,
// which a listener needs when it drains.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header, in bytes.
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
	// acceptPacket and dropPacket are results of a packet filter: the number of bytes of the packet to keep.
	acceptPacket = 0xffffffff
	dropPacket   = 0
)

// dropSYN is a packet filter that drops the SYN packet of each new connection. The final ACK of a handshake passes,
// so that a connection for which the kernel has already sent a SYN-ACK is completed.
var dropSYN = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipTrue: 1},
	bpf.RetConstant{Val: acceptPacket},
	bpf.RetConstant{Val: dropPacket},
}

// dropNewConnections makes the kernel ignore new connections to a TCP listener without closing the listener. A
// caller that connects now sends its SYN again after a second, and is refused then because the listener is closed.
func dropNewConnections(listener net.Listener) error {
	inner, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	program, err := assembleFilter(dropSYN)
	if err != nil {
		return err
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil {
		return err
	}
	return optionErr
}

func assembleFilter(instructions []bpf.Instruction) (*unix.SockFprog, error) {
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
