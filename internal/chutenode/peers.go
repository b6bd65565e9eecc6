package chutenode

import (
	"context"

	"azurechute.example/azurechute/internal/chuteclaim"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chutepeer"
)

// peerReply is the reply to one peer's exchange.
type peerReply struct {
	delta chutemember.Delta
}

// handlers answers the other nodes.
func (n *Node) handlers() chutepeer.Handlers {
	return chutepeer.Handlers{
		OnExchange: n.onExchange, OnFetchConfig: n.onFetchConfig, OnClaimStatus: n.onClaimStatus,
	}
}

// onExchange hands a peer's word to the reducer and waits for the reply.
func (n *Node) onExchange(
	ctx context.Context, from string, digest chutemember.Digest, delta chutemember.Delta,
) chutemember.Delta {
	ticket := n.tickets.Add(1)
	reply := make(chan peerReply, 1)
	n.sendWith(chutecore.PeerAsked{
		Stamp: n.stamp(), Ticket: ticket, From: from, Digest: digest, Delta: delta,
	}, func() { n.replies[ticket] = reply })
	select {
	case r := <-reply:
		return r.delta
	case <-ctx.Done():
	case <-n.running.Done():
	}

	return chutemember.Delta{}
}

// replyToPeer sends the reply that a peer's exchange waits for.
func (n *Node) replyToPeer(e chutecore.ReplyToPeer) {
	if reply, ok := n.replies[e.Ticket]; ok {
		delete(n.replies, e.Ticket)
		reply <- peerReply{delta: e.Delta}
	}
}

// onFetchConfig hands out the body of the configuration in force.
func (n *Node) onFetchConfig(_ context.Context, version uint64) ([]byte, bool) {
	current := n.config.Load()
	if current == nil || current.version != version || current.body == nil {
		return nil, false
	}

	return current.body, true
}

// onClaimStatus says what this process knows of a claim's token.
func (n *Node) onClaimStatus(_ context.Context, _, token string) (string, bool) {
	word := n.claims.Word(token)

	return string(word), word != chuteclaim.WordUnknown
}

// exchange carries one exchange with a peer out.
func (n *Node) exchange(ctx context.Context, e chutecore.Exchange) {
	_, reply, err := n.peers.Exchange(ctx, e.Peer.Address, e.Digest, e.Delta)
	if err != nil {
		n.log.Debug().Err(err).Str("Step", "exchange").Str("Peer", e.Peer.Name).Msg("peer not reached")

		return
	}
	n.send(chutecore.PeerAnswered{Stamp: n.stamp(), Peer: e.Peer, Delta: reply})
}
