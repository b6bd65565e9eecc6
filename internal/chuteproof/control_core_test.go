package chuteproof

import (
	"time"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutelease"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// coreNode drives chutecore.Reduce with the control world as its adapters, step by step as chutenode does.
type coreNode struct {
	h       *controlHost
	state   chutecore.State
	tickets map[uint64]func(chutemember.Delta)
	ticket  uint64
}

func newCoreNode(h *controlHost) controlProcess {
	return &coreNode{h: h, tickets: map[uint64]func(chutemember.Delta){}}
}

func (n *coreNode) begin(peers []*controlHost) {
	h := n.h
	n.state = chutecore.NewState(chutecore.Identity{
		Node: h.name, Zone: h.zone, Region: "region", PeerAddress: h.address, Incarnation: h.incarnation,
	}, uint64(h.index)+7, h.clock())
	// Seeds from the settings are known by address alone.
	var seeds []chutemember.Seed
	for _, p := range peers {
		seeds = append(seeds, chutemember.Seed{Name: p.address, Zone: h.zone, PeerAddress: p.address})
	}
	n.event(chutecore.PeersListed{Stamp: n.stamp(), Seeds: seeds})
	n.listPeers()
	n.watchEngines()
}

// listPeers reads the platform's list of VMs again and again.
func (n *coreNode) listPeers() {
	n.h.w.call(n.h, storeCall{
		apply: func() func() {
			var seeds []chutemember.Seed
			for _, p := range n.h.w.hosts {
				if p.name != n.h.name {
					seeds = append(seeds, chutemember.Seed{Name: p.name, Zone: p.zone, PeerAddress: p.address})
				}
			}

			return func() { n.event(chutecore.PeersListed{Stamp: n.stamp(), Seeds: seeds}) }
		},
		failed: func(bool) {},
	})
	n.h.later(time.Second, n.listPeers)
}

func (n *coreNode) stamp() chutecore.Stamp {
	return chutecore.Stamp{At: n.h.clock()}
}

func (n *coreNode) tick() {
	n.event(chutecore.Ticked{Stamp: n.stamp()})
}

func (n *coreNode) drain() {
	n.event(chutecore.DrainStarted{Stamp: n.stamp()})
}

// takesWork tries a request on a copy of the state: it is taken unless it is answered NotRun at once.
func (n *coreNode) takesWork() bool {
	_, effects := chutecore.Reduce(n.state, chutecore.RequestArrived{
		Stamp: n.stamp(), Handle: 1, Key: chuterequest.Key{Workspace: "members", RequestID: "probe"},
		Pipeline: "pipeline", Deadline: n.h.clock().Add(worldDeadline),
	})
	for _, effect := range effects {
		if answer, ok := effect.(chutecore.Answer); ok && answer.Outcome.Kind == chuterequest.OutcomeNotRun {
			return false
		}
	}

	return true
}

func (n *coreNode) event(e chutecore.Event) {
	var effects []chutecore.Effect
	n.state, effects = chutecore.Reduce(n.state, e)
	for _, effect := range effects {
		n.perform(effect)
	}
}

func (n *coreNode) perform(effect chutecore.Effect) {
	switch e := effect.(type) {
	case chutecore.ReadHead:
		n.readHead()
	case chutecore.FetchConfig:
		n.fetch(e)
	case chutecore.ConfigInForce:
		n.h.adopted(e.Version, markOf(n.state.Config()))
	case chutecore.Exchange:
		n.exchange(e)
	case chutecore.ReplyToPeer:
		n.tickets[e.Ticket](e.Delta)
		delete(n.tickets, e.Ticket)
	case chutecore.ReadLease:
		n.readLease(e)
	case chutecore.WriteLease:
		n.writeLease(e)
	case chutecore.SendOrder:
		decidedAt := n.h.w.now
		n.h.later(n.h.w.between(10*time.Millisecond), func() { n.sendOrder(e, decidedAt) })
	}
}

func (n *coreNode) readHead() {
	w, started := n.h.w, n.h.clock()
	w.call(n.h, storeCall{
		apply: func() func() {
			version := w.headSeen()

			return func() {
				read := chuterollout.HeadRead{Started: started, At: n.h.clock()}
				if version > 0 {
					read.ID, read.Object = chuterollout.ID{Version: version, Digest: versionDigest(version)}, versionObject(version)
				}
				n.event(chutecore.HeadRead{Stamp: n.stamp(), Read: read})
			}
		},
		failed: func(bool) { n.event(chutecore.HeadReadFailed{Stamp: n.stamp()}) },
	})
}

// headSeen is the version in the head row as the table serves it, which may be an old copy.
func (w *controlWorld) headSeen() uint64 {
	if w.during(incidentStaleHead) && w.chance(500) {
		w.faults++

		return uint64(w.random.IntN(int(w.store.head()) + 1))
	}

	return w.store.head()
}

// bodySeen is whose body the object store serves for a version.
func (w *controlWorld) bodySeen(version uint64) uint64 {
	if w.during(incidentCrossedBodies) && w.chance(500) {
		w.faults++

		return 1 + uint64(w.random.IntN(int(w.store.head())))
	}

	return version
}

func (n *coreNode) fetch(f chutecore.FetchConfig) {
	w := n.h.w
	failed := func(bool) { n.event(chutecore.FetchFailed{Stamp: n.stamp(), Fetch: f.Fetch}) }
	if f.Fetch.Source == chuterollout.SourceTable {
		w.call(n.h, storeCall{objects: true, failed: failed, apply: func() func() {
			body := w.bodySeen(f.Fetch.Version)

			return func() { n.fetched(f, versionDigest(body), w.store.configOf(body)) }
		}})

		return
	}
	peer, ok := w.hostAt(f.PeerAddress)
	if !ok {
		n.h.later(w.between(w.latency), func() { failed(true) })

		return
	}
	w.message(n.h, peer, func() {
		theirs := peer.process.(*coreNode).state
		version, digest := theirs.Version()
		w.message(peer, n.h, func() {
			if version != f.Fetch.Version {
				failed(true)

				return
			}
			n.fetched(f, digest, theirs.Config())
		})
	})
}

func (n *coreNode) fetched(f chutecore.FetchConfig, digest string, cfg chuteconfig.Config) {
	n.event(chutecore.BodyFetched{Stamp: n.stamp(), Fetch: f.Fetch, Digest: digest, Config: cfg})
}

// exchange carries an exchange to the peer and its reply back.
func (n *coreNode) exchange(e chutecore.Exchange) {
	w := n.h.w
	peer, ok := w.hostAt(e.Peer.Address)
	if !ok {
		return
	}
	theirs := peer.process.(*coreNode)
	w.message(n.h, peer, func() {
		theirs.ticket++
		theirs.tickets[theirs.ticket] = func(delta chutemember.Delta) {
			w.message(peer, n.h, func() {
				n.event(chutecore.PeerAnswered{Stamp: n.stamp(), Peer: e.Peer, Delta: delta})
			})
		}
		theirs.event(chutecore.PeerAsked{
			Stamp: theirs.stamp(), Ticket: theirs.ticket, From: n.h.name, Digest: e.Digest, Delta: e.Delta,
		})
	})
}

func (n *coreNode) readLease(e chutecore.ReadLease) {
	w := n.h.w
	w.call(n.h, storeCall{
		apply: func() func() {
			cell := w.store.leases[e.Key]

			return func() {
				n.event(chutecore.LeaseRead{Stamp: n.stamp(), ID: e.ID, Row: cell.row, Version: cell.version})
			}
		},
		failed: func(bool) { n.event(chutecore.LeaseReadFailed{Stamp: n.stamp(), ID: e.ID}) },
	})
}

func (n *coreNode) writeLease(e chutecore.WriteLease) {
	w, sentAt := n.h.w, n.h.w.now
	written := func(verdict chutecore.LeaseVerdict, row chutelease.Row, version uint64) {
		n.event(chutecore.LeaseWritten{Stamp: n.stamp(), ID: e.Write.ID, Verdict: verdict, Row: row, Version: version})
	}
	w.call(n.h, storeCall{
		apply: func() func() {
			verdict := chutecore.LeaseRefused
			if w.store.writeLease(n.h, e.Key, e.Write.Row, e.Write.Version, sentAt, w.now) {
				verdict = chutecore.LeaseCommitted
			}
			cell := w.store.leases[e.Key]

			return func() { written(verdict, cell.row, cell.version) }
		},
		failed: func(certain bool) {
			verdict := chutecore.LeaseUnknown
			if certain {
				verdict = chutecore.LeaseNotWritten
			}
			written(verdict, chutelease.Row{}, 0)
		},
	})
}
