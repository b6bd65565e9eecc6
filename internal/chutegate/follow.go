package chutegate

import (
	"context"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// directReadPeriod is how long a node reads the store itself after it lost the sources that it
	// followed. crossZoneDirectReadPeriod is the same for the first node of a zone, after it lost a
	// source in another zone: its own zone may be cut off, which lasts seconds, and each new
	// attempt to follow leaves the node out of date for another second.
	directReadPeriod          = 3 * time.Second
	crossZoneDirectReadPeriod = 8 * time.Second
	// maxLostInRow is the number of sources in its own zone that a node loses in a row before it
	// assumes that the fault is its own and reads the store itself. Each further attempt costs it
	// up to half a second.
	maxLostInRow = 2
	// delayedStatusLogged is the transit time from which a source's status is logged as delayed.
	delayedStatusLogged = 100 * time.Millisecond
	// maxTransitUncertainty is how much older than it is a table may be taken for because the first
	// message of its source was slow. Beyond it the source is followed anew after
	// uncertainFollowPeriod, since the table would count as stale ahead of time.
	maxTransitUncertainty = 50 * time.Millisecond
	uncertainFollowPeriod = 5 * time.Second
)

// stopReason is why a node stopped following its source.
type stopReason string

const (
	// stopNoSource: this node has no source and reads the store itself.
	stopNoSource stopReason = "Nobody"
	// stopOtherZoneSourceLost: the source, a node of another zone, is gone or silent.
	stopOtherZoneSourceLost stopReason = "CutOff"
	// stopSourceChanged: another node is the source now, or this node is stopping.
	stopSourceChanged stopReason = "Other"
	// stopSourceLost: the source, a node of the same zone, is gone or silent.
	stopSourceLost stopReason = "Lost"
)

// followSource copies a table from this node's source until that fails or another node becomes the
// source.
//
// While the source is out of date this node asks the store and goes on following: another node may reach the
// store and tell the source.
func (n *Node) followSource(ctx context.Context, local *localTable, onChange func()) stopReason {
	source, ok := n.source()
	if !ok {
		return stopNoSource
	}
	local.setSource(source, n.Now())
	defer local.setSource(chuterelay.Peer{}, n.Now())
	known, rowChanges := local.snapshotForFollowing()
	applyChange := func(c chutefeed.Change) {
		var changed bool
		if changed, rowChanges = local.applyFollowed(source.Name, c, rowChanges); changed {
			onChange()
		}
	}
	openedAt := n.Now()
	keepFollowing := func(status chuteshare.TableStatus) bool {
		now := n.Now()
		if local.hasChangedSince(rowChanges) {
			// The table was read from elsewhere. The source computes its changes against what it has sent
			// before, so they would turn this table into a state that never was.
			return false
		}
		status = local.statusInEra(status)
		if status.Current {
			local.recordStoreResult(true, now)
		}
		if status.Transit.Min >= delayedStatusLogged {
			n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Int64("DelayMs", status.Transit.Min.Milliseconds()).
				Msg("a status of the node that is followed was delayed")
		}
		if local.recordSourceStatus(status.Current, n.ownTime(status.ConfirmedAt), now) {
			n.log.Info().Str("Table", local.name).Str("Peer", source.Name).Msg("the node that is followed is out of date")
		}
		if local.needsReview(now) {
			onChange()
		}
		if status.Transit.Uncertainty() > maxTransitUncertainty && now.Sub(openedAt) >= uncertainFollowPeriod {
			return false
		}
		chosen, ok := n.source()

		return ok && chosen.Name == source.Name
	}
	err := n.peers.FollowTable(ctx, source.Address, local.name, known, local.keepaliveInterval, applyChange, keepFollowing)
	if err == nil || ctx.Err() != nil {
		return stopSourceChanged
	}
	local.setCurrent(false, n.Now())
	n.lostSources.add(source.Name, n.Now())
	n.log.Info().Str("Table", local.name).Str("Peer", source.Name).AnErr("Cause", err).Msg("the node that was followed is lost")
	if source.Zone != n.settings.Self.Zone {
		return stopOtherZoneSourceLost
	}

	return stopSourceLost
}
