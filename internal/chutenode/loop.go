package chutenode

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutecore"
)

// tickPeriod is how often queued work and what is due by the clock are looked over.
const tickPeriod = 20 * time.Millisecond

// loop takes events one at a time until the node stops.
func (n *Node) loop(ctx context.Context) {
	ticker := n.clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-n.messages:
			n.take(m)
		case <-ticker.Chan():
			n.take(message{event: chutecore.Ticked{Stamp: n.stamp()}})
		case ask := <-n.queries:
			ask(n.state)
		}
	}
}

// take reduces one event and carries its effects out.
func (n *Node) take(m message) {
	if m.before != nil {
		m.before()
	}
	started := n.clock.Now()
	var effects []chutecore.Effect
	n.state, effects = chutecore.Reduce(n.state, m.event)
	observeReduce(n.clock.Since(started))
	for _, effect := range effects {
		n.perform(effect)
	}
}

// perform carries one effect out; whatever blocks runs beside the loop.
func (n *Node) perform(effect chutecore.Effect) {
	switch e := effect.(type) {
	case chutecore.Dispatch:
		n.dispatch(e)
	case chutecore.CancelAttempt:
		n.cancelAttempt(e)
	case chutecore.Answer:
		n.answer(e)
	case chutecore.Release:
		n.release(e.Handle)
	case chutecore.SetDeadline:
		n.setDeadline(e)
	case chutecore.SetHedge:
		n.setHedge(e)
	case chutecore.TakeClaim:
		n.takeClaim(e)
	case chutecore.LookUpClaim:
		n.lookUpClaim(e)
	case chutecore.FinishClaim:
		n.finishClaim(e)
	case chutecore.GiveUpClaim:
		n.giveUpClaim(e.Handle)
	default:
		n.performControl(effect)
	}
}

// performControl carries out the effects that belong to no request.
func (n *Node) performControl(effect chutecore.Effect) {
	switch e := effect.(type) {
	case chutecore.ReadHead:
		n.spawn(n.readHead)
	case chutecore.FetchConfig:
		n.spawn(func(ctx context.Context) { n.fetchConfig(ctx, e) })
	case chutecore.ConfigInForce:
		n.configInForce(e)
	case chutecore.ReadLease:
		n.spawn(func(ctx context.Context) { n.readLease(ctx, e) })
	case chutecore.WriteLease:
		n.spawn(func(ctx context.Context) { n.writeLease(ctx, e) })
	case chutecore.SendOrder:
		n.spawn(func(ctx context.Context) { n.sendOrder(ctx, e) })
	case chutecore.Exchange:
		n.spawn(func(ctx context.Context) { n.exchange(ctx, e) })
	case chutecore.ReplyToPeer:
		n.replyToPeer(e)
	case chutecore.WriteLedger:
		n.spawn(func(ctx context.Context) { n.writeLedger(ctx, e.Row) })
	}
}
