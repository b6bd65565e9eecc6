package chutemember

import (
	"slices"
	"time"
)

// Peer is a node to exchange with, and about what.
type Peer struct {
	Name    string
	Zone    string
	Address string
	Scope   Scope
}

// Plan picks the nodes to exchange with now: a fixed few of the own zone each time, of other zones seldom, more of
// both while there is news. It is meant to be called once a second. random(n) must be in [0, n).
func (s Set) Plan(now time.Time, random func(n int) int) []Peer {
	p := s.planner(now, random)
	p.ownZone()
	p.otherZones()
	p.newsPush()
	p.ledgerHolders()
	p.silent()
	return p.peers
}

// PlanNews picks the nodes to tell at once after a change or a merge that brought a new mark or configuration.
func (s Set) PlanNews(now time.Time, random func(n int) int) []Peer {
	p := s.planner(now, random)
	p.newsPush()
	return p.peers
}

// planner gathers the picks of one Plan.
type planner struct {
	set    Set
	now    time.Time
	random func(n int) int
	own    Member
	zones  []zoneGroup
	dead   []Peer
	peers  []Peer
}

// zoneGroup is the partners in one zone.
type zoneGroup struct {
	zone   string
	region string
	live   []scored
}

func (s Set) planner(now time.Time, random func(n int) int) *planner {
	p := &planner{set: s, now: now, random: random, own: s.ownNode().member}
	for _, n := range s.allNodes() {
		switch {
		case n.id == s.selfID:
		case s.dead(n, now):
			p.dead = append(p.dead, peerOf(n.member, ScopeAll))
		default:
			g := p.group(n.member)
			g.live = append(g.live, scored{n: n, score: hashOf(s.self, n.member.Name)})
		}
	}
	for i := range p.zones {
		limit := s.settings.OtherZonePartners
		if p.zones[i].zone == p.own.Zone {
			limit = s.settings.Partners
		}
		ranked := byScore(p.zones[i].live)
		p.zones[i].live = ranked[:min(len(ranked), max(1, limit))]
	}
	for _, seed := range s.seeds {
		if _, met := s.nodes.Get(seed.Name); !met && seed.Name != s.self {
			p.dead = append(p.dead, Peer{Name: seed.Name, Zone: seed.Zone, Address: seed.PeerAddress, Scope: ScopeAll})
		}
	}
	return p
}

func (p *planner) group(m Member) *zoneGroup {
	i := slices.IndexFunc(p.zones, func(g zoneGroup) bool { return g.zone == m.Zone })
	if i < 0 {
		p.zones = append(p.zones, zoneGroup{zone: m.Zone, region: m.Region})
		i = len(p.zones) - 1
	}
	return &p.zones[i]
}

// ownZone picks one partner of the own zone.
func (p *planner) ownZone() {
	for _, g := range p.zones {
		if g.zone != p.own.Zone {
			continue
		}
		scope := ScopeNews
		if p.oneIn(p.set.settings.ZoneEvery) {
			scope = ScopeZone
		}
		p.pick(g, p.smallScope(scope))
	}
}

// otherZones now and then picks one partner of one other zone; another region half as often.
func (p *planner) otherZones() {
	others := p.others()
	if len(others) == 0 {
		return
	}
	g := others[p.random(len(others))]
	if g.region != p.own.Region && !p.oneIn(2) {
		return
	}
	switch {
	case p.oneIn(p.set.settings.OtherZoneEvery):
		p.pick(g, ScopeAll)
	case p.oneIn(p.set.settings.NewsEvery):
		p.pick(g, p.smallScope(ScopeNews))
	}
}

// newsPush spreads a new mark or configuration: two more partners in the own zone, one in each other.
func (p *planner) newsPush() {
	if !p.set.hasNews(p.now) {
		return
	}
	for _, g := range p.zones {
		p.pick(g, ScopeNews)
		if g.zone == p.own.Zone {
			p.pick(g, ScopeNews)
		}
	}
}

// hasNews reports whether a mark or configuration came within Settings.NewsFor.
func (s Set) hasNews(now time.Time) bool {
	if s.config.Version > 0 && now.Sub(s.configAt) <= s.settings.NewsFor {
		return true
	}
	for itr := s.marks.Iterator(); !itr.Done(); {
		_, kept, _ := itr.Next()
		if now.Sub(kept.learned) <= s.settings.NewsFor {
			return true
		}
	}
	return false
}

// ledgerHolders now and then picks the holders of the rows that this node hands on.
func (p *planner) ledgerHolders() {
	for itr := p.set.rows.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		if !p.set.responsible(r.LedgerRow) {
			continue
		}
		for _, name := range p.set.Holders(r.LedgerRow) {
			if n, ok := p.set.nodes.Get(name); ok && n.id != p.set.selfID && p.oneIn(p.set.settings.LedgerEvery) {
				p.add(peerOf(n.member, ScopeNews))
			}
		}
	}
}

// silent now and then tries a dead member or unmet seed, and always when there
// is nobody else. Without it the two sides of a healed cut, each holding the
// other for dead, would stay apart while the platform's list is down.
func (p *planner) silent() {
	if len(p.dead) > 0 && (len(p.zones) == 0 || p.oneIn(p.set.settings.SilentEvery)) {
		p.add(p.dead[p.random(len(p.dead))])
	}
}

func (p *planner) others() []zoneGroup {
	return slices.DeleteFunc(slices.Clone(p.zones), func(g zoneGroup) bool { return g.zone == p.own.Zone })
}

// smallScope widens a scope where all members fit into every exchange.
func (p *planner) smallScope(scope Scope) Scope {
	if p.set.small() {
		return ScopeAll
	}
	return scope
}

// oneIn is true once in n times on average.
func (p *planner) oneIn(n int) bool {
	return n <= 1 || p.random(n) == 0
}

func (p *planner) pick(g zoneGroup, scope Scope) {
	if len(g.live) > 0 {
		p.add(peerOf(g.live[p.random(len(g.live))].n.member, scope))
	}
}

// add keeps one exchange a node, of the widest scope asked for.
func (p *planner) add(peer Peer) {
	i := slices.IndexFunc(p.peers, func(have Peer) bool { return have.Name == peer.Name })
	if i < 0 {
		p.peers = append(p.peers, peer)
		return
	}
	if scopeWidth(peer.Scope) > scopeWidth(p.peers[i].Scope) {
		p.peers[i].Scope = peer.Scope
	}
}

func scopeWidth(s Scope) int {
	return slices.Index([]Scope{ScopeNone, ScopeListed, ScopeNews, ScopeZone, ScopeAll}, s)
}

func peerOf(m Member, scope Scope) Peer {
	return Peer{Name: m.Name, Zone: m.Zone, Address: m.PeerAddress, Scope: scope}
}
