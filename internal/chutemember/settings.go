package chutemember

import "time"

// Settings bounds how much a node tells and how long it remembers; counts of plans assume one Plan a second.
type Settings struct {
	// FullBelow is the number of members up to which every exchange covers all zones.
	FullBelow int
	// Partners is how many nodes of the own zone a node talks to, which bounds its open connections.
	Partners int
	// OtherZonePartners is the same for each other zone.
	OtherZonePartners int
	// ZoneEvery makes one plan in that many cover the members of the own zone; the others carry only news.
	ZoneEvery int
	// OtherZoneEvery makes one plan in that many cover all members, with a node of another zone.
	OtherZoneEvery int
	// NewsEvery makes one plan in that many carry news to another zone.
	NewsEvery int
	// LedgerEvery makes one plan in that many offer ledger rows to each of their holders.
	LedgerEvery int
	// SilentEvery makes one plan in that many try a dead member or an unmet seed.
	SilentEvery int
	// NewsFor is how long a new mark or configuration is pushed to more peers than usual.
	NewsFor time.Duration
	// SuspectAfter and DeadAfter are heartbeat ages for members of the own zone.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// OtherZoneFactor multiplies both ages for members of other zones, whose heartbeats come seldom.
	OtherZoneFactor int
	// ForgetAfter is the heartbeat age at which a dead member is removed.
	ForgetAfter time.Duration
	// MarkAge is how long a leaving mark is kept.
	MarkAge time.Duration
	// RowAge is how long a ledger row is kept after its node was last seen live.
	RowAge time.Duration
	// LoadEvery is the shortest time between two publications of the node's own pool loads.
	LoadEvery time.Duration
	// LedgerCopies is how many other nodes hold a copy of a ledger row.
	LedgerCopies int
	// MaxRowBytes bounds the body of one ledger row.
	MaxRowBytes int
}

// DefaultSettings returns settings that fit 9 to 400 nodes; docs/CAPACITY.md has the measurements.
func DefaultSettings() Settings {
	return Settings{
		FullBelow:         64,
		Partners:          8,
		OtherZonePartners: 2,
		ZoneEvery:         2,
		OtherZoneEvery:    8,
		NewsEvery:         3,
		LedgerEvery:       15,
		SilentEvery:       10,
		NewsFor:           3 * time.Second,
		SuspectAfter:      10 * time.Second,
		DeadAfter:         30 * time.Second,
		OtherZoneFactor:   6,
		ForgetAfter:       time.Hour,
		MarkAge:           time.Hour,
		RowAge:            24 * time.Hour,
		LoadEvery:         30 * time.Second,
		LedgerCopies:      2,
		MaxRowBytes:       6 << 10,
	}
}
