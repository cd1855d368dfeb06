package peer

import (
	"bufio"
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
)

// olderService has the methods of a node that takes bodies only with their calls.
type olderService struct{ bodies chan int }

// Forward records the length of the body.
func (s *olderService) Forward(args *ForwardArgs, reply *Answer) error {
	s.bodies <- len(args.Body)
	reply.Outcome = uint8(reducer.OutcomeDone)
	return nil
}

// Guards against large bodies that nodes of an earlier version never get.
func TestOlderPeerGetsTheBodyWithTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	older := &olderService{bodies: make(chan int, 1)}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		readHello(r)
		self := identity("target")
		writeHello(conn, self.hello(ClassBulk))
		server := rpc.NewServer()
		server.RegisterName("Peer", older)
		server.ServeCodec(newCodec(conn, r, ClassBulk.maxRequestBytes(), ClassBulk.maxResponseBytes(), codecHooks{}))
	}()
	client := NewClient(identity("client"), func(reducer.Input) bool { return true }, nil)
	defer client.Close()
	client.SetPacer(link.New(1000))
	forward := reducer.Forward{To: reducer.PeerRef{Node: "target", Address: listener.Addr().String()}, Attempt: 1, TimeLeft: time.Minute, BodyAhead: true}
	done, _ := client.Forward(context.Background(), forward, postRequest(100_000))
	if done.Outcome != reducer.OutcomeDone {
		t.Fatalf("the attempt ended as %+v", done)
	}
	if n := <-older.bodies; n != 100_000 {
		t.Errorf("the body of the call has %d bytes", n)
	}
}
