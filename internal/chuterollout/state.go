package chuterollout

import (
	"slices"
	"time"
)

// conflictLimit bounds the remembered conflicts; one is enough to raise an alarm.
const conflictLimit = 8

// ID names one configuration: its number and the digest of its canonical encoding.
type ID struct {
	Version uint64
	Digest  string
}

// Source says where a version was heard of, and where its body is fetched from.
type Source string

// The sources of a configuration.
const (
	SourceTable Source = "Table"
	SourcePeer  Source = "Peer"
)

// Conflict is a version that was announced with another digest than the one kept.
type Conflict struct {
	Source Source
	// Peer is the peer that announced it; empty for the table.
	Peer   string
	Kept   ID
	Digest string
	At     time.Time
}

// Fetch is the wanted effect to get a configuration's body.
type Fetch struct {
	ID
	Source Source
	// Object is the body's name in the object store, for SourceTable.
	Object string
	// Peer is whom to ask, for SourcePeer.
	Peer string
}

// Wants are the effects that follow from an event.
type Wants struct {
	// ReadHead asks for a read of the table's head row.
	ReadHead bool
	// Fetch asks for a body.
	Fetch *Fetch
	// Adopt says that the body just fetched is in force from now on.
	Adopt *ID
}

// HeadRead is the answer to a read of the table's head row; Version 0 says that no configuration was ever applied.
type HeadRead struct {
	ID
	Object string
	// Started is the time before the read was sent, At the time of its answer.
	Started time.Time
	At      time.Time
}

// PeerOffered is a peer's word on the version that it has.
type PeerOffered struct {
	ID
	Peer string
	// HeadAge is how long ago the peer, or whom it heard from, began its last read of the head row;
	// zero or less where the peer does not say.
	HeadAge time.Duration
	At      time.Time
}

// BodyFetched is a body that came and was decoded.
type BodyFetched struct {
	// Fetch is the effect that asked for it.
	Fetch Fetch
	// Digest is that of the body which came, worked out by the receiver.
	Digest string
	At     time.Time
}

// State is the immutable state of a node's configuration.
type State struct {
	settings Settings
	adopted  ID
	// head and offer are the highest versions above the adopted one that the table and peers announced.
	head  candidate
	offer candidate
	// fetching is the fetch under way, begun at fetchStarted.
	fetching     *Fetch
	fetchStarted time.Time
	// freshAt is the latest time of which it is known that no version above those known was in force.
	freshAt     time.Time
	readStarted time.Time
	reading     bool
	nextRead    time.Time
	reads       uint64
	failures    int
	stale       int
	conflicts   []Conflict
}

// candidate is an announced version that is not adopted yet.
type candidate struct {
	ID
	object string
	// peers are those that announced it and did not fail to give it.
	peers []string
	// notBefore holds the next fetch back after a failure.
	notBefore time.Time
	failures  int
}

// New returns the state of a node that has no configuration.
func New(s Settings) State {
	return State{settings: s.withDefaults()}
}

// Ready reports whether a configuration was adopted.
func (s State) Ready() bool {
	return s.adopted.Version > 0
}

// Adopted returns the configuration in force, version 0 before the first adoption.
func (s State) Adopted() ID {
	return s.adopted
}

// HeadAge returns how long ago the adopted version was known to be the table's, for peers; 0 where that is not known.
//
// A node that knows of a higher version but cannot fetch it says nothing: otherwise its peers would take their
// own old version for fresh and not look for the higher one themselves.
func (s State) HeadAge(now time.Time) time.Duration {
	if s.freshAt.IsZero() || max(s.head.Version, s.offer.Version) > s.adopted.Version {
		return 0
	}

	return max(now.Sub(s.freshAt), 1)
}

// Conflicts returns the conflicts noticed last, oldest first.
func (s State) Conflicts() []Conflict {
	return slices.Clone(s.conflicts)
}

// StaleReads returns how many announcements of a version below the adopted one were ignored.
func (s State) StaleReads() int {
	return s.stale
}

// WithHeadRead takes the answer to a read of the head row.
func (s State) WithHeadRead(e HeadRead) (State, Wants) {
	if e.Version < s.adopted.Version {
		// A read that was answered late, or a table restored from an old copy: following it would revert
		// an accepted configuration, and its age must not pass for fresh knowledge.
		s.stale++

		return s.withReadOver(e.At, s.failures+1).withFetch(e.At)
	}
	s = s.withReadOver(e.At, 0).withFresh(e.Started)
	if e.Version == s.offer.Version && e.Digest != s.offer.Digest {
		s = s.withConflict(Conflict{Source: SourcePeer, Peer: s.offer.firstPeer(), Kept: e.ID, Digest: s.offer.Digest, At: e.At})
		s.offer = candidate{}
	}
	switch {
	case e.ID == s.adopted:
	case e.Version == s.adopted.Version:
		s = s.withConflict(Conflict{Source: SourceTable, Kept: s.adopted, Digest: e.Digest, At: e.At})
	case e.Version > s.head.Version:
		s.head = candidate{ID: e.ID, object: e.Object}
	case e.Version == s.head.Version && e.Digest != s.head.Digest:
		s = s.withConflict(Conflict{Source: SourceTable, Kept: s.head.ID, Digest: e.Digest, At: e.At})
	}

	return s.withFetch(e.At)
}

// WithHeadReadFailed takes the failure of a read of the head row.
func (s State) WithHeadReadFailed(at time.Time) (State, Wants) {
	return s.withReadOver(at, s.failures+1).withFetch(at)
}

// WithPeerOffered takes a peer's word on its version.
func (s State) WithPeerOffered(e PeerOffered) (State, Wants) {
	if e.HeadAge > 0 && e.Version >= s.adopted.Version {
		s = s.withFresh(e.At.Add(-e.HeadAge))
	}
	switch {
	case e.Version < s.adopted.Version || e.ID == s.adopted:
	case e.Version == s.adopted.Version:
		s = s.withConflict(Conflict{Source: SourcePeer, Peer: e.Peer, Kept: s.adopted, Digest: e.Digest, At: e.At})
	case e.Version == s.head.Version && e.Digest != s.head.Digest:
		s = s.withConflict(Conflict{Source: SourcePeer, Peer: e.Peer, Kept: s.head.ID, Digest: e.Digest, At: e.At})
	case e.Version > s.offer.Version:
		s.offer = candidate{ID: e.ID, peers: []string{e.Peer}}
	case e.Version == s.offer.Version && e.Digest != s.offer.Digest:
		s = s.withConflict(Conflict{Source: SourcePeer, Peer: e.Peer, Kept: s.offer.ID, Digest: e.Digest, At: e.At})
	case e.Version == s.offer.Version:
		s.offer = s.offer.withPeer(e.Peer)
	}

	return s.withFetch(e.At)
}

// WithBodyFetched takes a body; it is adopted if its digest is the announced one and its version is above the adopted one.
func (s State) WithBodyFetched(e BodyFetched) (State, Wants) {
	// The digest stands between a truncated, crossed or forged body and every caller of this node; a body that
	// does not match counts as a failed fetch, so another source is tried.
	// So does one of a version for which the table has named another digest meanwhile.
	disowned := e.Fetch.Version == s.head.Version && e.Fetch.Digest != s.head.Digest
	if e.Digest != e.Fetch.Digest || e.Fetch.Version == 0 || disowned {
		return s.WithFetchFailed(e.Fetch, e.At)
	}
	if s.fetching != nil && *s.fetching == e.Fetch {
		s.fetching = nil
	}
	// A body may come late, after a higher version was adopted; adopting it would revert that.
	if e.Fetch.Version <= s.adopted.Version {
		if e.Fetch.Version == s.adopted.Version && e.Fetch.Digest != s.adopted.Digest {
			s = s.withConflict(Conflict{
				Source: e.Fetch.Source, Peer: e.Fetch.Peer, Kept: s.adopted, Digest: e.Fetch.Digest, At: e.At,
			})
		}

		return s.withFetch(e.At)
	}
	s.adopted = e.Fetch.ID
	s.head = s.head.above(s.adopted.Version)
	s.offer = s.offer.above(s.adopted.Version)
	s, wants := s.withFetch(e.At)
	adopted := e.Fetch.ID
	wants.Adopt = &adopted

	return s, wants
}

func (s State) withConflict(c Conflict) State {
	for i, known := range s.conflicts {
		if known.Source == c.Source && known.Peer == c.Peer && known.Kept == c.Kept && known.Digest == c.Digest {
			s.conflicts = slices.Clone(s.conflicts)
			s.conflicts[i].At = c.At

			return s
		}
	}
	s.conflicts = append(slices.Clone(s.conflicts), c)
	if len(s.conflicts) > conflictLimit {
		s.conflicts = s.conflicts[1:]
	}

	return s
}

func (s State) withFresh(at time.Time) State {
	if at.After(s.freshAt) {
		s.freshAt = at
	}

	return s
}

func (c candidate) above(version uint64) candidate {
	if c.Version <= version {
		return candidate{}
	}

	return c
}

func (c candidate) firstPeer() string {
	if len(c.peers) == 0 {
		return ""
	}

	return c.peers[0]
}

func (c candidate) withPeer(peer string) candidate {
	if len(c.peers) < peerLimit && !slices.Contains(c.peers, peer) {
		c.peers = append(slices.Clone(c.peers), peer)
	}

	return c
}
