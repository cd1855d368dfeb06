package peer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"testing"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
)

// ownerHandler is the owner of a quota. It passes the requests for tokens to the test.
type ownerHandler struct {
	echoHandler
	requests chan reducer.PeerMessage
}

func (h *ownerHandler) Post(input reducer.Input) bool {
	h.requests <- input.(reducer.PeerMessage)
	return true
}

// ownerFixture is a node that asks the owner of a quota for tokens.
type ownerFixture struct {
	owner    *Server
	handler  *ownerHandler
	node     *Client
	to       reducer.PeerRef
	received chan reducer.Input // by the node
}

func startOwner(t *testing.T) *ownerFixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &ownerFixture{handler: &ownerHandler{requests: make(chan reducer.PeerMessage, 1)}, received: make(chan reducer.Input, 1)}
	f.to = reducer.PeerRef{Node: "owner", Address: listener.Addr().String()}
	f.owner = NewServer(identity("owner"), listener, f.handler, log.NewNopLogger(), nil)
	f.node = NewClient(identity("node"), func(in reducer.Input) bool { f.received <- in; return true }, nil)
	go f.owner.Serve()
	t.Cleanup(func() {
		f.node.Close()
		f.owner.Close()
	})
	return f
}

func tokenRequest(seq uint64) reducer.QuotaRequest {
	return reducer.QuotaRequest{Request: quota.Request{Seq: seq, Asks: []quota.Ask{{Workspace: "w", Needed: 1}}}}
}

// Guards against a grant that does not reach the node that asked, or that names another sender than the owner, which the
// node would ignore.
func TestGrantComesWithTheReply(t *testing.T) {
	f := startOwner(t)
	for seq := range uint64(3) {
		f.node.Send(reducer.Send{To: f.to, Message: tokenRequest(seq)})
		asked := <-f.handler.requests
		grant := reducer.QuotaGrant{Grant: quota.Grant{Seq: seq, Tokens: []quota.Tokens{{Workspace: "w", Now: 1}}}}
		if asked.From.Node != "node" || !f.owner.DeliverGrant(reducer.Send{To: asked.From, Message: grant}) {
			t.Fatalf("request %d from %s: the grant is not delivered", seq, asked.From.Node)
		}
		if f.owner.DeliverGrant(reducer.Send{To: asked.From, Message: grant}) {
			t.Errorf("request %d: a second grant is delivered", seq)
		}
		want := reducer.PeerMessage{From: identity("owner").Ref, Message: grant}
		if got := <-f.received; !reflect.DeepEqual(got, want) {
			t.Errorf("request %d: the node received %+v, expected %+v", seq, got, want)
		}
	}
}

// Guards against a grant that is lost because its request, or the wait for it, has ended, and against control messages that
// wait behind a request without a grant.
func TestLateGrantIsSentAsAMessage(t *testing.T) {
	f := startOwner(t)
	f.node.Send(reducer.Send{To: f.to, Message: tokenRequest(1)})
	f.node.Send(reducer.Send{To: f.to, Message: reducer.Heartbeat{}})
	asked := <-f.handler.requests
	if next := <-f.handler.requests; !reflect.DeepEqual(next.Message, reducer.Heartbeat{}) {
		t.Fatalf("received %+v, expected a heartbeat", next.Message)
	}
	if f.owner.DeliverGrant(reducer.Send{To: asked.From, Message: reducer.QuotaGrant{Grant: quota.Grant{Seq: 1}}}) {
		t.Error("a grant for a request that has been replied to counts as delivered")
	}
}

// olderOwner has the Notify method of a node whose replies to control messages are empty.
type olderOwner struct{ requests chan *QuotaRequest }

// Notify records the request.
func (o *olderOwner) Notify(args *ControlArgs, _ *Empty) error {
	o.requests <- args.QuotaRequest
	return nil
}

// Guards against nodes of different versions that do not understand the replies to control messages.
func TestRepliesOfOlderNodes(t *testing.T) {
	older := &olderOwner{requests: make(chan *QuotaRequest, 1)}
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", older); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()
	var reply NotifyReply
	if err := client.Call("Peer.Notify", wireControl(tokenRequest(1)), &reply); err != nil || reply.QuotaGrant != nil {
		t.Fatalf("reply %+v, error %v", reply, err)
	}
	<-older.requests

	f := startOwner(t)
	self := identity("older")
	self.typesHash = 0 // its types differ
	olderNode := NewClient(self, func(reducer.Input) bool { return true }, nil)
	defer olderNode.Close()
	args := wireControl(tokenRequest(1))
	args.QuotaRequest.GrantInReply = false // the older node does not know the field
	if err := olderNode.invoke(context.Background(), connKey{f.to.Address, ClassControl}, "Peer.Notify", args, &Empty{}); err != nil {
		t.Fatal(err)
	}
	asked := <-f.handler.requests
	if f.owner.DeliverGrant(reducer.Send{To: asked.From, Message: reducer.QuotaGrant{Grant: quota.Grant{Seq: 1}}}) {
		t.Error("the grant for an older node is kept for a reply")
	}
}
