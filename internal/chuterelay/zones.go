package chuterelay

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// minSilentEndpoints is how many nodes and upstreams of a zone have to be silent, with no
	// reply from any other there since, until the zone counts as cut off. A single one can be
	// frozen or without power.
	minSilentEndpoints = 2
	// silenceTTL is how long a silence counts. Silent upstreams are probed more often than that,
	// so a zone stays cut off until the first probe gets through.
	silenceTTL = 2 * time.Second
)

// zoneSilence records which endpoints, nodes and upstreams, of other zones did not reply. From
// that this node concludes which zones are cut off.
//
// Each node and upstream of a cut off zone would otherwise be found out by a slow connection attempt of its
// own.
type zoneSilence struct {
	own string
	// silent maps a zone to its silent endpoints, with the times.
	silent *immutable.Map[string, map[string]time.Time]
}

func newZoneSilence(own string) zoneSilence {
	return zoneSilence{own: own, silent: immutable.NewMap[string, map[string]time.Time](nil)}
}

// withSilent records that nothing came back from an endpoint.
func (z zoneSilence) withSilent(zone, endpoint string, now time.Time) zoneSilence {
	known, _ := z.silent.Get(zone)
	next := maps.Clone(known)
	if next == nil {
		next = map[string]time.Time{}
	}
	maps.DeleteFunc(next, func(_ string, at time.Time) bool { return now.Sub(at) >= silenceTTL })
	next[endpoint] = now
	z.silent = z.silent.Set(zone, next)

	return z
}

// withStillSilent records another silence of an endpoint that is silent already; it ignores all
// others.
func (z zoneSilence) withStillSilent(zone, endpoint string, now time.Time) zoneSilence {
	if known, _ := z.silent.Get(zone); !known[endpoint].IsZero() {
		return z.withSilent(zone, endpoint, now)
	}

	return z
}

// withReply clears a zone's silences after a reply from it.
func (z zoneSilence) withReply(zone string) zoneSilence {
	if _, ok := z.silent.Get(zone); ok {
		z.silent = z.silent.Delete(zone)
	}

	return z
}

// cutOff reports whether another zone counts as cut off.
func (z zoneSilence) cutOff(zone string, now time.Time) bool {
	return z.silentCount(zone, now) >= minSilentEndpoints
}

// suspected reports whether another zone may be cut off: an endpoint of it is silent.
func (z zoneSilence) suspected(zone string, now time.Time) bool {
	return z.silentCount(zone, now) > 0
}

// silentCount returns the number of silent endpoints of another zone; 0 for this node's own.
func (z zoneSilence) silentCount(zone string, now time.Time) int {
	if zone == z.own {
		return 0
	}
	known, _ := z.silent.Get(zone)
	count := 0
	for _, at := range known {
		if now.Sub(at) < silenceTTL {
			count++
		}
	}

	return count
}

// allCutOff lists the zones that count as cut off, sorted.
func (z zoneSilence) allCutOff(now time.Time) []string {
	var cutOffZones []string
	for i := z.silent.Iterator(); !i.Done(); {
		if zone, _, _ := i.Next(); z.cutOff(zone, now) {
			cutOffZones = append(cutOffZones, zone)
		}
	}
	slices.Sort(cutOffZones)

	return cutOffZones
}

// silentEndpoints lists the silent endpoints of a zone, sorted.
func (z zoneSilence) silentEndpoints(zone string) []string {
	known, _ := z.silent.Get(zone)

	return slices.Sorted(maps.Keys(known))
}

// recordSilence records that nothing came back from an endpoint of a zone.
func (st *reduction) recordSilence(zone, endpoint string) {
	wasCutOff := st.zoneSilence.cutOff(zone, st.now)
	st.zoneSilence = st.zoneSilence.withSilent(zone, endpoint, st.now)
	if !wasCutOff && st.zoneSilence.cutOff(zone, st.now) {
		st.emit(LogZone{Zone: zone, CutOff: true, Silent: st.zoneSilence.silentEndpoints(zone)})
	}
}

// recordReply records a reply from a zone.
func (st *reduction) recordReply(zone string) {
	wasCutOff := st.zoneSilence.cutOff(zone, st.now)
	st.zoneSilence = st.zoneSilence.withReply(zone)
	if wasCutOff {
		st.emit(LogZone{Zone: zone})
	}
}

// recordZoneReply records what the end of a call shows about the upstream's zone.
func (st *reduction) recordZoneReply(u chutefleet.Upstream, silent, answered bool) {
	switch {
	case silent:
		st.recordSilence(u.Zone, u.ID)
	case answered:
		st.recordReply(u.Zone)
	}
}

// reachableOrOwn returns the zone, or this node's zone if that one is cut off.
func (z zoneSilence) reachableOrOwn(zone string, now time.Time) string {
	if z.cutOff(zone, now) {
		return z.own
	}

	return zone
}
