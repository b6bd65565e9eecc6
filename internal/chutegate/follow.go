package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// directSpell is how long a node reads the store itself after the ones that it
	// followed were lost, and cutOffSpell the same for the first node of a zone that has
	// lost another zone's: the zone may be cut off, which lasts seconds, and each try to
	// follow again leaves it out of date for another second.
	directSpell = 3 * time.Second
	cutOffSpell = 8 * time.Second
	// lostInRow is the number of nodes of its zone that a node loses one after the other
	// before it takes the fault to be its own and reads the store itself: one more
	// costs it up to half a second.
	lostInRow = 2
)

// followEnd says why a node stopped following another.
type followEnd string

const (
	// followNobody: this node reads the store, there is nobody to follow.
	followNobody followEnd = "Nobody"
	// followCutOff: the node of another zone that was followed is gone or silent.
	followCutOff followEnd = "CutOff"
	// followOther: another node is to be followed by now.
	followOther followEnd = "Other"
	// followLost: the node that was followed is gone or silent.
	followLost followEnd = "Lost"
)

// follow takes a table from the node's source until that fails.
//
// While the source is out of date, refresh asks the store and this goes on: another node may
// reach the store and tell the source. One that stopped to ask, and whose question met a
// silent store, had keys that were revoked in force for a second longer, and so had all that
// follow it.
func (n *Node) follow(ctx context.Context, w *watch, changed func()) followEnd {
	source, ok := n.source()
	if !ok {
		return followNobody
	}
	w.follow(source, n.Now())
	defer w.follow(chuterelay.Peer{}, n.Now())
	take := func(c chutefeed.Change) {
		if w.takeFrom(source.Name, c) {
			changed()
		}
	}
	more := func(word chuteshare.Word) bool {
		now := n.Now()
		if word.Current {
			w.reached(true, now)
		}
		if w.hear(word, now) {
			n.log.Info().Str("Table", w.name).Str("Peer", source.Name).Msg("the node that is followed is out of date")
		}
		if w.unsettled(now) {
			changed()
		}
		chosen, ok := n.source()

		return ok && chosen.Name == source.Name
	}
	err := n.peers.FollowTable(ctx, source.Address, w.name, w.snapshot(), w.signs, take, more)
	if err == nil || ctx.Err() != nil {
		return followOther
	}
	w.setCurrent(false)
	n.lost.add(source.Name, n.Now())
	n.log.Info().Str("Table", w.name).Str("Peer", source.Name).AnErr("Cause", err).Msg("the node that was followed is lost")
	if source.Zone != n.settings.Self.Zone {
		return followCutOff
	}

	return followLost
}
