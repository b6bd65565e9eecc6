package chutemember

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Set is one node's view of the others and of what they tell; the zero value is not usable.
type Set struct {
	self     string
	selfID   uint64
	settings Settings
	// at is the time of the last heartbeat or merge, by this node's clock.
	at time.Time
	// resumed is when this node last found that it had been paused.
	resumed time.Time
	// nodes holds this node too.
	nodes *immutable.SortedMap[string, *node]
	names *immutable.Map[uint64, string]
	seeds []Seed
	marks *immutable.SortedMap[LeavingMark, mark]
	// markHashes tells differing sets of marks apart, a bucket at a time.
	markHashes [markBuckets]uint32
	// config is in force here; heard is the highest that any node offered.
	config   Config
	configAt time.Time
	heard    Config
	rows     *immutable.SortedMap[string, row]
	// loads waits for its turn to be published.
	loads   []PoolLoad
	loadsAt time.Time
}

// node is one incarnation's state; it is never changed once it is in a Set.
type node struct {
	id       uint64
	member   Member
	recordAt uint64
	status   Status
	statusAt uint64
	// loads are empty for nodes of other zones.
	loads   []PoolLoad
	loadsAt uint64
	// seen is when the version last grew, by this node's clock.
	seen time.Time
}

// New returns the view of a node that knows only itself, with the default settings.
func New(self Member) Set {
	self.State = StateLive
	self.Heartbeat = 1
	own := &node{id: memberID(self.Name, self.Incarnation), member: self, recordAt: 1}
	s := Set{
		self:     self.Name,
		selfID:   own.id,
		settings: DefaultSettings(),
		nodes:    immutable.NewSortedMap[string, *node](nil),
		names:    immutable.NewMap[uint64, string](nil),
		marks:    immutable.NewSortedMap[LeavingMark, mark](markOrder{}),
		rows:     immutable.NewSortedMap[string, row](nil),
	}
	return s.withNode(own)
}

// WithSettings replaces the settings.
func (s Set) WithSettings(settings Settings) Set {
	s.settings = settings
	return s
}

// WithSeeds replaces the nodes named by the platform's list; they are tried until they have been met.
func (s Set) WithSeeds(seeds []Seed) Set {
	sorted := slices.Clone(seeds)
	slices.SortFunc(sorted, func(a, b Seed) int { return cmp.Compare(a.Name, b.Name) })
	s.seeds = slices.CompactFunc(sorted, func(a, b Seed) bool { return a.Name == b.Name })
	return s
}

// WithHeartbeat raises this node's version, publishes its loads when their turn has come and drops what is too old.
func (s Set) WithHeartbeat(now time.Time) Set {
	s = s.withTime(now)
	s = s.withOwn(func(own *node, _ uint64) { own.seen = now })
	s = s.withPublishedLoads()
	return s.withoutAged()
}

// WithLeavingSelf tells the others that this node is shutting down.
func (s Set) WithLeavingSelf() Set {
	return s.withOwn(func(own *node, version uint64) {
		own.member.State = StateLeaving
		own.recordAt = version
	})
}

// WithConfig states that a configuration is in force here and that its body can be had here; a lower version is ignored.
func (s Set) WithConfig(version uint64, digest string) Set {
	if version <= s.config.Version {
		return s
	}
	s.config = Config{Version: version, Digest: digest}
	s.configAt = s.at
	s.heard = higher(s.heard, s.config)
	return s.withOwn(func(own *node, at uint64) {
		own.status.ConfigVersion = version
		own.statusAt = at
	})
}

// withOwn changes a copy of this node's state under its next version.
func (s Set) withOwn(change func(own *node, version uint64)) Set {
	own := *s.ownNode()
	own.member.Heartbeat++
	change(&own, own.member.Heartbeat)
	return s.withNode(&own)
}

// withNode puts a node's state in place of the one before.
func (s Set) withNode(n *node) Set {
	old, ok := s.nodes.Get(n.member.Name)
	if !ok || old.id != n.id {
		if ok {
			s.names = s.names.Delete(old.id)
		}
		s.names = s.names.Set(n.id, n.member.Name)
	}
	s.nodes = s.nodes.Set(n.member.Name, n)
	return s
}

// withTime moves the view's clock. Where the node itself was paused, all others
// seem dead when it wakes, and it would act on that; they get a fresh period
// instead, counted from the waking, which is as long as a live member ever needs.
func (s Set) withTime(now time.Time) Set {
	switch {
	case s.at.IsZero():
		s = s.withFirstTime(now)
	case now.Sub(s.at) > s.settings.SuspectAfter:
		s.resumed = now
	}
	if now.After(s.at) {
		s.at = now
	}
	return s
}

// withFirstTime dates what was recorded before the first heartbeat, which would
// otherwise be past its age at once.
func (s Set) withFirstTime(now time.Time) Set {
	s.configAt = now
	for itr := s.marks.Iterator(); !itr.Done(); {
		m, _, _ := itr.Next()
		s.marks = s.marks.Set(m, mark{born: now, learned: now})
	}
	return s
}

// withoutAged drops dead members, marks and ledger rows that are past their age.
func (s Set) withoutAged() Set {
	for _, n := range s.allNodes() {
		if n.id != s.selfID && s.age(n, s.at) > s.settings.ForgetAfter {
			s.nodes = s.nodes.Delete(n.member.Name)
			s.names = s.names.Delete(n.id)
		}
	}
	return s.withoutAgedMarks().withoutAgedRows()
}

func (s Set) ownNode() *node {
	own, _ := s.nodes.Get(s.self)
	return own
}

func (s Set) ownZone() string {
	return s.ownNode().member.Zone
}

// nodeByID finds the incarnation that a digest names.
func (s Set) nodeByID(id uint64) (*node, bool) {
	name, ok := s.names.Get(id)
	if !ok {
		return nil, false
	}
	return s.nodes.Get(name)
}

// allNodes lists the nodes by name.
func (s Set) allNodes() []*node {
	all := make([]*node, 0, s.nodes.Len())
	for itr := s.nodes.Iterator(); !itr.Done(); {
		_, n, _ := itr.Next()
		all = append(all, n)
	}
	return all
}

// age is the time since the node's version last grew, not counting a pause of this node.
func (s Set) age(n *node, now time.Time) time.Duration {
	if n.id == s.selfID {
		return 0
	}
	from := n.seen
	if s.resumed.After(from) {
		from = s.resumed
	}
	return now.Sub(from)
}

// stretched is a heartbeat age that applies to the node, longer for other zones
// of a large site, whose heartbeats come seldom.
func (s Set) stretched(n *node, age time.Duration) time.Duration {
	if s.small() || n.member.Zone == s.ownZone() {
		return age
	}
	return age * time.Duration(max(1, s.settings.OtherZoneFactor))
}

// small reports whether the site is so small that every exchange covers all zones.
func (s Set) small() bool {
	return s.nodes.Len() <= s.settings.FullBelow
}

func (s Set) dead(n *node, now time.Time) bool {
	return s.age(n, now) > s.stretched(n, s.settings.DeadAfter)
}

func higher(a, b Config) Config {
	if a.Version != b.Version {
		if a.Version > b.Version {
			return a
		}
		return b
	}
	// The table never gives one version to two digests; the order only makes merges agree.
	if a.Digest >= b.Digest {
		return a
	}
	return b
}
