package chutemember

import "time"

// Scope says which members a digest lists completely.
type Scope string

// The scopes, from the narrowest.
const (
	// ScopeNone asks for nothing: the message only delivers a delta.
	ScopeNone Scope = ""
	// ScopeListed asks only for what the digest lists.
	ScopeListed Scope = "Listed"
	// ScopeNews asks for leaving marks and configuration, not for members.
	ScopeNews Scope = "News"
	// ScopeZone lists all members of one zone.
	ScopeZone Scope = "Zone"
	// ScopeAll lists all members.
	ScopeAll Scope = "All"
)

// NodeVersion is the version known of all that one incarnation of a node originated.
type NodeVersion struct {
	// ID is a hash of the node's name and incarnation.
	ID      uint64
	Version uint64
}

// RowVersion is the version of a ledger row, named by a hash of its id.
type RowVersion struct {
	ID      uint64
	Version uint64
}

// Digest says what a node knows, in few bytes.
type Digest struct {
	Scope Scope
	// Zone is the zone that ScopeZone covers.
	Zone string
	// ConfigVersion is the configuration in force at the sender.
	ConfigVersion uint64
	// Marks has a hash per bucket of the known leaving marks; nil when there are none.
	Marks []uint32
	// Nodes is in ascending order of ID.
	Nodes []NodeVersion
	// Rows are ledger rows that the sender holds and offers to the receiver.
	Rows []RowVersion
}

// Empty reports whether the digest asks for nothing.
func (d Digest) Empty() bool {
	return d.Scope == ScopeNone
}

// Beat says that an incarnation which the receiver knows up to Base has nothing new up to Version but being alive.
type Beat struct {
	ID      uint64
	Base    uint64
	Version uint64
}

// NodeNews carries those parts of a node's state that changed after Base.
type NodeNews struct {
	ID uint64
	// Base is the version that the receiver was believed to have; 0 carries the whole state.
	Base uint64
	// Version is what the receiver knows after taking all parts.
	Version uint64
	// Record is nil when unchanged.
	Record   *Member
	RecordAt uint64
	// Status is nil when unchanged.
	Status   *Status
	StatusAt uint64
}

// Status is the part of a node's state that changes often.
type Status struct {
	ConfigVersion uint64
	// Loads is in order of zone and pool.
	Loads []PoolLoad
}

// MarkNews is a leaving mark and the time since it was first made.
type MarkNews struct {
	LeavingMark
	Age time.Duration
}

// LedgerRow is an opaque part of a node's ledger, kept by others in case the node dies before writing it.
type LedgerRow struct {
	ID string
	// Node, Zone and Incarnation name the originator.
	Node        string
	Zone        string
	Incarnation string
	Version     uint64
	Body        []byte
	// Age is the time since the originator was last known to be live.
	Age time.Duration
}

// Delta carries what one node knows and another is believed to lack.
type Delta struct {
	// Config is what is in force at the sender, who can hand out its body; zero when not newer.
	Config Config
	Marks  []MarkNews
	Nodes  []NodeNews
	Beats  []Beat
	Rows   []LedgerRow
	// Wants lists what the sender lacks, for a closing delta the other way.
	Wants Digest
}

// Changes is what a merge taught this node.
type Changes struct {
	// Marks are leaving marks not known before.
	Marks []LeavingMark
	// Config is higher than the version in force here, or zero; From can hand out its body.
	Config Config
	From   string
	// Rows are ledger rows that are new or have a higher version.
	Rows []LedgerRow
	// Members are new members, new incarnations and members that started to leave.
	Members []Member
	// SelfContested says that another incarnation of this node's name has an epoch as
	// high: the clock went back since, or, where it repeats, two processes run under one name.
	SelfContested bool
}

// Empty reports whether the merge taught nothing but heartbeats and loads.
func (c Changes) Empty() bool {
	return len(c.Marks) == 0 && c.Config.Version == 0 && len(c.Rows) == 0 &&
		len(c.Members) == 0 && !c.SelfContested
}
