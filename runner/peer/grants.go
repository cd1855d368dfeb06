package peer

import (
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// grantWait is the longest time for which the reply to a QuotaRequest waits for its grant. It is when the sender counts the
// owner as silent; a later grant is sent as a message.
const grantWait = 100 * time.Millisecond

// pendingGrants holds the requests of peers for tokens whose replies wait for the grant. A grant that goes with the reply
// takes half of the frames of one that is a message with a reply of its own, and needs no connection back.
type pendingGrants struct {
	mu        sync.Mutex
	byRequest map[grantKey]chan reducer.QuotaGrant
}

// grantKey identifies a request for tokens.
type grantKey struct {
	node        reducer.NodeID
	incarnation reducer.Incarnation
	seq         uint64
}

func newGrantKey(peer reducer.PeerRef, seq uint64) grantKey {
	return grantKey{peer.Node, peer.Incarnation, seq}
}

// expect registers a request whose reply is to carry the grant. It returns nil for one that is registered already.
func (p *pendingGrants) expect(key grantKey) <-chan reducer.QuotaGrant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRequest[key] != nil {
		return nil
	}
	if p.byRequest == nil {
		p.byRequest = map[grantKey]chan reducer.QuotaGrant{}
	}
	grants := make(chan reducer.QuotaGrant, 1)
	p.byRequest[key] = grants
	return grants
}

// deliver passes a grant to the reply that waits for it, and reports false if there is none.
func (p *pendingGrants) deliver(key grantKey, grant reducer.QuotaGrant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	grants := p.byRequest[key]
	if grants == nil {
		return false
	}
	delete(p.byRequest, key)
	grants <- grant // does not block: the channel has room for the only grant
	return true
}

// wait returns the grant of a request, or nil if it does not come in time or the connection ends. A later one is not
// delivered here.
func (p *pendingGrants) wait(key grantKey, grants <-chan reducer.QuotaGrant, disconnected <-chan struct{}) *reducer.QuotaGrant {
	timeout := time.NewTimer(grantWait)
	defer timeout.Stop()
	select {
	case grant := <-grants:
		return &grant
	case <-timeout.C:
	case <-disconnected:
	}
	p.mu.Lock()
	delete(p.byRequest, key)
	p.mu.Unlock()
	select {
	case grant := <-grants: // delivered meanwhile
		return &grant
	default:
		return nil
	}
}

// DeliverGrant passes a message on if it is a grant for which a reply to a peer waits. Otherwise it reports false, and the
// message must be sent.
func (s *Server) DeliverGrant(send reducer.Send) bool {
	grant, ok := send.Message.(reducer.QuotaGrant)
	return ok && s.grants.deliver(newGrantKey(send.To, grant.Seq), grant)
}

// NotifyReply is the reply to a control message. It is empty except after a QuotaRequest with GrantInReply.
type NotifyReply struct {
	QuotaGrant *QuotaGrant
}

// Notify receives a control message. A message that cannot be decoded is an error, which the peer handles as a message
// that was not delivered. A message of an unknown type is ignored.
func (s *service) Notify(args *ControlArgs, reply *NotifyReply) error {
	message, err := args.toMessage()
	if message == nil || err != nil {
		return err
	}
	input := reducer.PeerMessage{From: s.peer, Message: message}
	if args.QuotaRequest == nil || !args.QuotaRequest.GrantInReply {
		s.handler.Post(input)
		return nil
	}
	key := newGrantKey(s.peer, args.QuotaRequest.Seq)
	grants := s.grants.expect(key)
	if !s.handler.Post(input) || grants == nil {
		return nil
	}
	if grant := s.grants.wait(key, grants, s.disconnected); grant != nil {
		reply.QuotaGrant = wireQuotaGrant(*grant)
	}
	return nil
}
