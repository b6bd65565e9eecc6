package chutemember

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrRowTooLarge is returned for a ledger row above Settings.MaxRowBytes, which no exchange could carry.
var ErrRowTooLarge = errors.New("ledger row is too large to be handed to other nodes")

// row is a ledger row held here; its Age is worked out when it is told.
type row struct {
	LedgerRow
	// liveAt is when the originator was last known to be live, by this node's clock.
	liveAt time.Time
}

// WithLedgerRow offers a row of this node to others, who keep it in case this node dies; it returns ErrRowTooLarge.
func (s Set) WithLedgerRow(id string, version uint64, body []byte) (Set, error) {
	if len(body) > s.settings.MaxRowBytes {
		return s, ErrRowTooLarge
	}
	own := s.ownNode().member
	s, _ = s.withRow(LedgerRow{
		ID: id, Node: own.Name, Zone: own.Zone, Incarnation: own.Incarnation,
		Version: version, Body: bytes.Clone(body),
	})
	return s, nil
}

// WithoutLedgerRow drops a row, for instance once it is written to the table; an older holder may offer it again.
func (s Set) WithoutLedgerRow(id string) Set {
	s.rows = s.rows.Delete(id)
	return s
}

// withRow takes a row that is new or higher and tells whether it did.
func (s Set) withRow(r LedgerRow) (Set, bool) {
	if r.Age > s.settings.RowAge {
		return s, false
	}
	taken := row{LedgerRow: r, liveAt: s.at.Add(-r.Age)}
	taken.Age = 0
	old, known := s.rows.Get(r.ID)
	if known && old.compare(r) >= 0 {
		return s, false
	}
	s.rows = s.rows.Set(r.ID, taken)
	return s, true
}

// compare orders two states of a row; the body only makes merges agree where one version came twice.
func (r LedgerRow) compare(other LedgerRow) int {
	return cmp.Or(
		cmp.Compare(r.Version, other.Version),
		bytes.Compare(r.Body, other.Body),
		cmp.Compare(r.Node, other.Node),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Zone, other.Zone),
	)
}

func (s Set) withoutAgedRows() Set {
	for itr := s.rows.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		switch {
		case !s.orphan(r.LedgerRow):
			r.liveAt = s.at
			s.rows = s.rows.Set(id, r)
		case s.at.Sub(r.liveAt) > s.settings.RowAge:
			s.rows = s.rows.Delete(id)
		}
	}
	return s
}

// OrphanRows lists the held rows whose node is dead, replaced or forgotten, for a survivor to write to the table.
func (s Set) OrphanRows() []LedgerRow {
	return s.rowsWhere(s.orphan)
}

// Rows lists all held rows, this node's own included.
func (s Set) Rows() []LedgerRow {
	return s.rowsWhere(func(LedgerRow) bool { return true })
}

func (s Set) rowsWhere(keep func(LedgerRow) bool) []LedgerRow {
	var out []LedgerRow
	for itr := s.rows.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		if keep(r.LedgerRow) {
			r.Age = ageToTell(s.at.Sub(r.liveAt))
			out = append(out, r.LedgerRow)
		}
	}
	return out
}

func (s Set) orphan(r LedgerRow) bool {
	n, ok := s.nodes.Get(r.Node)
	return !ok || n.member.Incarnation != r.Incarnation || s.dead(n, s.at)
}

// responsible reports whether this node hands the row on: its own, and orphans,
// so that a copy lost with one holder is made again by the other.
func (s Set) responsible(r LedgerRow) bool {
	return r.Node == s.self || s.orphan(r)
}

// Holders names the nodes that keep a copy of the row, in order of preference:
// live ones of other zones than the row's, each of another zone while there are
// zones left, so that the loss of one zone leaves a copy. All nodes with the
// same members choose alike.
func (s Set) Holders(r LedgerRow) []string {
	var others, own []scored
	for _, n := range s.allNodes() {
		m := n.member
		if m.Name == r.Node || m.State != StateLive || s.dead(n, s.at) {
			continue
		}
		candidate := scored{n: n, score: hashOf(r.ID, m.Name)}
		if m.Zone == r.Zone {
			own = append(own, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	ranked := append(byZoneInTurn(others), byScore(own)...)
	ranked = ranked[:min(len(ranked), s.settings.LedgerCopies)]
	names := make([]string, len(ranked))
	for i, c := range ranked {
		names[i] = c.n.member.Name
	}
	return names
}

// scored is a candidate under rendezvous hashing.
type scored struct {
	n     *node
	score uint64
}

func byScore(candidates []scored) []scored {
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.n.member.Name, b.n.member.Name))
	})
	return candidates
}

// byZoneInTurn puts each zone's best first, then each zone's second, and so on.
func byZoneInTurn(candidates []scored) []scored {
	turn := make(map[string]int)
	turns := make(map[*node]int, len(candidates))
	for _, c := range byScore(candidates) {
		turns[c.n] = turn[c.n.member.Zone]
		turn[c.n.member.Zone]++
	}
	slices.SortStableFunc(candidates, func(a, b scored) int {
		return cmp.Compare(turns[a.n], turns[b.n])
	})
	return candidates
}

// offeredRows lists the rows that the peer should hold a copy of.
func (s Set) offeredRows(peer string) []RowVersion {
	var out []RowVersion
	for itr := s.rows.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		if s.responsible(r.LedgerRow) && slices.Contains(s.Holders(r.LedgerRow), peer) {
			out = append(out, RowVersion{ID: hashOf(id), Version: r.Version})
		}
	}
	return out
}

// wantedRows lists those of the offered rows that are higher than what is held here.
func (s Set) wantedRows(offered []RowVersion) []RowVersion {
	if len(offered) == 0 {
		return nil
	}
	held := make(map[uint64]uint64, s.rows.Len())
	for itr := s.rows.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		held[hashOf(id)] = r.Version
	}
	var out []RowVersion
	for _, o := range offered {
		if version, ok := held[o.ID]; !ok || o.Version > version {
			out = append(out, RowVersion{ID: o.ID, Version: version})
		}
	}
	return out
}

// rowNews lists the wanted rows, as far as the budget goes.
func (s Set) rowNews(wanted []RowVersion, b *budget) []LedgerRow {
	if len(wanted) == 0 {
		return nil
	}
	var out []LedgerRow
	for _, r := range s.rowsWhere(func(r LedgerRow) bool {
		id := hashOf(r.ID)
		return slices.ContainsFunc(wanted, func(w RowVersion) bool { return w.ID == id && w.Version < r.Version })
	}) {
		if b.take(r.size()) {
			out = append(out, r)
		}
	}
	return out
}
