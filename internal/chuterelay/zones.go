package chuterelay

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// zoneProofs is how many parties of a zone have to be silent, with no sign of
	// life from any other there since, until the zone is taken for cut off: one can
	// be frozen or without power.
	zoneProofs = 2
	// zoneMemory is how long a silence counts. Silent upstreams are probed more often
	// than that, so a zone stays cut off until the first probe gets through.
	zoneMemory = 2 * time.Second
)

// zones is the evidence on which other zones are cut off from this node.
//
// When a zone is cut off, each of its nodes and upstreams is found out only by a
// connection attempt that takes 0.35 s to fail. Found out one by one, they cost
// nearly every request that is meant for the zone one or more such attempts.
type zones struct {
	own string
	// silent maps a zone to the parties that were silent, with the times.
	silent *immutable.Map[string, map[string]time.Time]
}

func newZones(own string) zones {
	return zones{own: own, silent: immutable.NewMap[string, map[string]time.Time](nil)}
}

// withSilent notes that nothing came back from a node or upstream.
func (z zones) withSilent(zone, party string, now time.Time) zones {
	known, _ := z.silent.Get(zone)
	next := maps.Clone(known)
	if next == nil {
		next = map[string]time.Time{}
	}
	maps.DeleteFunc(next, func(_ string, at time.Time) bool { return now.Sub(at) >= zoneMemory })
	next[party] = now
	z.silent = z.silent.Set(zone, next)

	return z
}

// withStillSilent notes that a party that was silent is so still.
func (z zones) withStillSilent(zone, party string, now time.Time) zones {
	if known, _ := z.silent.Get(zone); !known[party].IsZero() {
		return z.withSilent(zone, party, now)
	}

	return z
}

// withHeard notes a sign of life from a zone.
func (z zones) withHeard(zone string) zones {
	if _, ok := z.silent.Get(zone); ok {
		z.silent = z.silent.Delete(zone)
	}

	return z
}

// cutOff says whether another zone is taken for cut off.
func (z zones) cutOff(zone string, now time.Time) bool {
	if zone == z.own {
		return false
	}
	known, _ := z.silent.Get(zone)
	proofs := 0
	for _, at := range known {
		if now.Sub(at) < zoneMemory {
			proofs++
		}
	}

	return proofs >= zoneProofs
}

// allCutOff lists the zones that are taken for cut off.
func (z zones) allCutOff(now time.Time) []string {
	var cut []string
	for i := z.silent.Iterator(); !i.Done(); {
		if zone, _, _ := i.Next(); z.cutOff(zone, now) {
			cut = append(cut, zone)
		}
	}
	slices.Sort(cut)

	return cut
}

// parties lists the silent parties of a zone, sorted.
func (z zones) parties(zone string) []string {
	known, _ := z.silent.Get(zone)

	return slices.Sorted(maps.Keys(known))
}

// noteSilent takes in that nothing came back from a node or upstream of a zone.
func (st *step) noteSilent(zone, party string) {
	was := st.zones.cutOff(zone, st.now)
	st.zones = st.zones.withSilent(zone, party, st.now)
	if !was && st.zones.cutOff(zone, st.now) {
		st.do(NoteZone{Zone: zone, CutOff: true, Silent: st.zones.parties(zone)})
	}
}

// noteHeard takes in a sign of life from a zone.
func (st *step) noteHeard(zone string) {
	was := st.zones.cutOff(zone, st.now)
	st.zones = st.zones.withHeard(zone)
	if was {
		st.do(NoteZone{Zone: zone})
	}
}

// noteZone takes in what the end of a call says of the upstream's zone.
func (st *step) noteZone(u chutefleet.Upstream, silent, answered bool) {
	switch {
	case silent:
		st.noteSilent(u.Zone, u.ID)
	case answered:
		st.noteHeard(u.Zone)
	}
}

// reachable returns the zone, or the own one in place of one that is cut off.
func (z zones) reachable(zone string, now time.Time) string {
	if z.cutOff(zone, now) {
		return z.own
	}

	return zone
}
