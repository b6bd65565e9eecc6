package chuterelay

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutequota"
)

const (
	// minPeerPause is how long a lost peer is skipped at first. The pause doubles up to
	// maxPeerPause each time the peer is lost again: a job request to a lost peer costs its whole
	// timeout, a frozen or cut off node is back in seconds, and one whose VM is gone stays on the
	// list.
	minPeerPause = 2 * time.Second
	maxPeerPause = 32 * time.Second
	// minSilentPeers is how many peers of a zone have to be silent, without a reply from them
	// since, until the others of the zone are skipped too.
	minSilentPeers = 2
)

// Peer is a node of the system.
type Peer struct {
	Name string
	Zone string
	// Region is empty for nodes with older software.
	Region  string
	Address string
	// Incarnation changes with each start of the process.
	Incarnation string
	// Power is the capacity of the VM in cores, or less where its network link is the bottleneck.
	Power float64
}

// lostPeer describes a peer that was lost and has not replied since.
type lostPeer struct {
	// until is the end of the pause in which the peer is skipped.
	until time.Time
	pause time.Duration
	// silent says that nothing came back from it, not even a refused connection.
	silent bool
}

// peers is the list of nodes and what this node knows of their failures.
type peers struct {
	self Peer
	all  []Peer
	lost map[string]lostPeer
	// departedNodes maps the nodes that have left the list to the time until which they keep their
	// share of what all nodes share.
	departedNodes map[string]time.Time
	// inZone holds the nodes by availability zone, byName by their names.
	inZone map[string][]Peer
	byName map[string]Peer
	// shuttingDown says that this node is shutting down, cutOff that it reaches no upstream; it collects
	// for nobody then.
	shuttingDown bool
	cutOff       bool
}

// withListed applies a new list of nodes. Peers that are unchanged in it stay lost.
func (p peers) withListed(all []Peer) peers {
	next := map[string]lostPeer{}
	for _, peer := range all {
		index := slices.IndexFunc(p.all, func(o Peer) bool { return o == peer })
		if lost, ok := p.lost[peer.Name]; ok && index >= 0 {
			next[peer.Name] = lost
		}
	}
	p.all = slices.Clone(all)
	p.lost = next
	p.inZone, p.byName = map[string][]Peer{}, map[string]Peer{}
	for _, peer := range all {
		p.byName[peer.Name] = peer
		p.inZone[peer.Zone] = append(p.inZone[peer.Zone], peer)
	}

	return p
}

// withDepartedNodes records which nodes are missing from a new list. They keep their share of what
// all nodes share until the given time.
func (p peers) withDepartedNodes(all []Peer, now, until time.Time) peers {
	departed := map[string]time.Time{}
	for name, keptUntil := range p.departedNodes {
		if now.Before(keptUntil) {
			departed[name] = keptUntil
		}
	}
	for _, listed := range p.all {
		departed[listed.Name] = until
	}
	for _, peer := range all {
		delete(departed, peer.Name)
	}
	p.departedNodes = departed

	return p
}

// sharers returns the nodes among which the common limits and budgets are divided: those on the
// list, and those that have left it and may still be at work.
func (p peers) sharers(now time.Time) chutequota.Allocator {
	names := p.names()
	for name, until := range p.departedNodes {
		if now.Before(until) {
			names = append(names, name)
		}
	}

	return chutequota.NewAllocator(p.self.Name, names)
}

// withLost skips a peer for a pause; silent says that nothing at all came back from it.
func (p peers) withLost(name string, silent bool, now time.Time) peers {
	next := maps.Clone(p.lost)
	if next == nil {
		next = map[string]lostPeer{}
	}
	pause := max(minPeerPause, min(maxPeerPause, 2*next[name].pause))
	next[name] = lostPeer{until: now.Add(pause), pause: pause, silent: silent}
	p.lost = next

	return p
}

// withReachable removes a peer's record as lost.
func (p peers) withReachable(name string) peers {
	if _, lost := p.lost[name]; !lost {
		return p
	}
	p.lost = maps.Clone(p.lost)
	delete(p.lost, name)

	return p
}

// zoneSilent reports whether a zone's nodes are considered gone, whatever its upstreams do.
//
// The nodes of a zone can lose power together and stay on the list, and each that is found out by itself costs
// a request.
func (p peers) zoneSilent(zone string, now time.Time) bool {
	silentPeers := 0
	for _, peer := range p.all {
		if lost := p.lost[peer.Name]; peer.Zone == zone && lost.silent && now.Before(lost.until) {
			silentPeers++
		}
	}

	return silentPeers >= minSilentPeers
}

// minPowerShare is the share of the strongest node's power that a collector needs: on a weak VM
// the parts of a whole pool would wait for its processor or its network link.
const minPowerShare = 0.5

// collectorRole is the prefix of a collector's role in Elect; the shard follows.
const collectorRole = "collector|"

// collector returns the node that collects the parts of a lane, the same for all lanes of a shard; false if the lane
// must not leave its regions and no node there can be asked. Two collectors for one lane cost refused calls but no
// correctness.
func (p peers) collector(lane chutebatch.Lane, unreachable []string, now time.Time) (Peer, bool) {
	candidates := p.candidates(lane.Shard, unreachable, now)
	if !lane.Regions.IsAll() {
		candidates = slices.DeleteFunc(candidates, func(peer Peer) bool { return !lane.Regions.Contains(peer.Region) })
	}
	chosen, ok := Elect(collectorRole+lane.Shard, candidates)
	if !ok {
		return p.self, lane.Regions.Contains(p.self.Region)
	}

	return chosen, true
}

// Elect returns the node for a role: of the candidates with enough power the one with the highest
// hash of role and name (rendezvous hashing). All nodes with the same list elect the same. It
// returns false without candidates.
func Elect(role string, candidates []Peer) (Peer, bool) {
	var best Peer
	var bestHash uint64
	found := false
	minPower := minPowerShare * maxPower(candidates)
	for _, peer := range candidates {
		hash := xxhash.Sum64String(role + "|" + peer.Name)
		if peer.Power >= minPower && (!found || hash > bestHash) {
			best, bestHash, found = peer, hash, true
		}
	}

	return best, found
}

// candidates lists the nodes that are neither lost nor in an unreachable zone; only those of the
// zone if there are any.
func (p peers) candidates(zone string, unreachable []string, now time.Time) []Peer {
	if zone != p.self.Zone && p.zoneSilent(zone, now) {
		unreachable = append(slices.Clone(unreachable), zone)
	}
	var all, inZone []Peer
	for _, peer := range p.all {
		if p.skipped(peer, now) || slices.Contains(unreachable, peer.Zone) {
			continue
		}
		all = append(all, peer)
		if peer.Zone == zone {
			inZone = append(inZone, peer)
		}
	}
	if len(inZone) > 0 {
		return inZone
	}

	return all
}

// skipped reports whether jobs must not be requested from a node now.
func (p peers) skipped(peer Peer, now time.Time) bool {
	if peer.Name == p.self.Name {
		return p.shuttingDown || p.cutOff
	}

	return now.Before(p.lost[peer.Name].until)
}

func maxPower(peers []Peer) float64 {
	highest := 0.0
	for _, peer := range peers {
		highest = max(highest, peer.Power)
	}

	return highest
}

// zoneCount counts the zones of the listed nodes; it is at least 1.
func (p peers) zoneCount() int {
	zones := map[string]bool{}
	for _, peer := range p.all {
		zones[peer.Zone] = true
	}

	return max(1, len(zones))
}

// names returns the names of all nodes.
func (p peers) names() []string {
	names := make([]string, 0, len(p.all))
	for _, peer := range p.all {
		names = append(names, peer.Name)
	}

	return names
}
