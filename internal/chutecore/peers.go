package chutecore

import (
	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chuterollout"
)

// maxExchangeBytes bounds one message of an exchange, so that a node that missed much catches up over several.
const maxExchangeBytes = 16 << 10

// gossip begins the exchanges that are due.
func (st *step) gossip() {
	st.offerLedger()
	for _, view := range st.poolLoads() {
		st.members = st.members.WithPoolLoad(view.Zone, view.Pool, view.InFlight)
	}
	st.members = st.members.WithHeartbeat(st.now)
	random := newDraws(st.random)
	plan := st.members.Plan(st.now, random.intN)
	st.random = random.source
	for _, peer := range plan {
		digest, delta := st.members.Open(peer, maxExchangeBytes)
		st.do(Exchange{Peer: peer, Digest: digest, Delta: delta})
	}
	st.keepOrphans()
}

// poolLoads sums this node's work in flight by zone and pool.
func (st *step) poolLoads() []chutemember.PoolLoad {
	var loads []chutemember.PoolLoad
	at := map[[2]string]int{}
	for _, view := range st.routing.All() {
		key := [2]string{view.Zone, view.Pool}
		i, known := at[key]
		if !known {
			i = len(loads)
			at[key] = i
			loads = append(loads, chutemember.PoolLoad{Zone: view.Zone, Pool: view.Pool})
		}
		loads[i].InFlight += view.InFlight
	}

	return loads
}

// peerAsked merges what a peer told and replies with what it lacks.
func (st *step) peerAsked(e PeerAsked) {
	st.merge(e.Delta, e.From)
	st.do(ReplyToPeer{Ticket: e.Ticket, Delta: st.members.DeltaFor(e.From, e.Digest, maxExchangeBytes)})
}

// peerAnswered merges a reply and sends what the peer still lacks.
func (st *step) peerAnswered(e PeerAnswered) {
	st.merge(e.Delta, e.Peer.Name)
	if e.Delta.Wants.Empty() {
		return
	}
	closing := st.members.DeltaFor(e.Peer.Name, e.Delta.Wants, maxExchangeBytes)
	st.do(Exchange{Peer: e.Peer, Delta: closing})
}

// merge takes another node's word into account.
func (st *step) merge(delta chutemember.Delta, from string) {
	var changes chutemember.Changes
	st.members, changes = st.members.Merge(delta, from, st.now)
	for _, mark := range changes.Marks {
		st.routing = st.routing.WithLeaving(mark.Upstream, mark.Incarnation)
	}
	if changes.Config.Version > 0 {
		st.offered(changes)
	}
}

// offered tells the rollout of a higher version that a peer has.
func (st *step) offered(changes chutemember.Changes) {
	state, wants := st.rollout.WithPeerOffered(chuterollout.PeerOffered{
		ID:   chuterollout.ID{Version: changes.Config.Version, Digest: changes.Config.Digest},
		Peer: changes.From, At: st.now,
	})
	st.rollout = state
	st.wantRollout(wants, st.config)
}

// offerLedger hands the counters that are not yet in the table to peers, in case this node dies before it writes them.
func (st *step) offerLedger() {
	rows, err := st.ledger.Unflushed()
	if err != nil {
		return
	}
	for _, row := range rows {
		members, err := st.members.WithLedgerRow(row.Key, row.Mark, row.Body)
		if err == nil {
			st.members = members
		}
	}
}

// keepOrphans takes the counters of dead nodes over, so that this node writes them to the table.
func (st *step) keepOrphans() {
	for _, row := range st.members.OrphanRows() {
		incarnation, counters, err := chuteledger.Decode(row.Body)
		if err == nil {
			st.ledger = st.ledger.WithForeign(incarnation, counters)
		}
	}
}
