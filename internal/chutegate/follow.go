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
	directReadPeriod          = 3 * time.Second
	crossZoneDirectReadPeriod = 8 * time.Second
	// lostInRow is the number of nodes of its zone that a node loses one after the other
	// before it takes the fault to be its own and reads the store itself: one more
	// costs it up to half a second.
	maxLostInRow = 2
)

// followEnd says why a node stopped following another.
type stopReason string

const (
	// followNobody: this node reads the store, there is nobody to follow.
	stopNoSource stopReason = "Nobody"
	// followCutOff: the node of another zone that was followed is gone or silent.
	stopOtherZoneSourceLost stopReason = "CutOff"
	// followOther: another node is to be followed by now.
	stopSourceChanged stopReason = "Other"
	// followLost: the node that was followed is gone or silent.
	stopSourceLost stopReason = "Lost"
)

// follow takes a table from the node's source until that fails.
//
// While the source is out of date, refresh asks the store and this goes on: another node may
// reach the store and tell the source. One that stopped to ask, and whose question met a
// silent store, had keys that were revoked in force for a second longer, and so had all that
// follow it.
func (n *Node) followSource(ctx context.Context, local *localTable, onChange func()) stopReason {
	source, ok := n.source()
	if !ok {
		return stopNoSource
	}
	local.setSource(source, n.Now())
	defer local.setSource(chuterelay.Peer{}, n.Now())
	applyChange := func(c chutefeed.Change) {
		if local.applyFromNode(source.Name, c) {
			onChange()
		}
	}
	keepFollowing := func(status chuteshare.Word) bool {
		now := n.Now()
		if status.Current {
			local.recordStoreResult(true, now)
		}
		if local.recordSourceStatus(status, now) {
			n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Msg("the node that is followed is out of date")
		}
		if local.needsReview(now) {
			onChange()
		}
		chosen, ok := n.source()

		return ok && chosen.Name == source.Name
	}
	err := n.peers.FollowTable(ctx, source.Address, local.name, local.snapshot(), local.keepaliveInterval, applyChange, keepFollowing)
	if err == nil || ctx.Err() != nil {
		return stopSourceChanged
	}
	local.setCurrent(false)
	n.lostSources.add(source.Name, n.Now())
	n.log.Info().Str("Table", local.name).Str("Peer", source.Name).AnErr("Cause", err).Msg("the node that was followed is lost")
	if source.Zone != n.settings.Self.Zone {
		return stopOtherZoneSourceLost
	}

	return stopSourceLost
}
