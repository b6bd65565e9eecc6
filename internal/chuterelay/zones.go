package chuterelay

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// minSilentEndpoints is how many parties of a zone have to be silent, with no sign of
	// life from any other there since, until the zone is taken for cut off: one can
	// be frozen or without power.
	minSilentEndpoints = 2
	// silenceTTL is how long a silence counts. Silent upstreams are probed more often
	// than that, so a zone stays cut off until the first probe gets through.
	silenceTTL = 2 * time.Second
)

// zoneSilence is the evidence on which other zones are cut off from this node.
//
// When a zone is cut off, each of its nodes and upstreams is found out only by a
// connection attempt that takes 0.35 s to fail. Found out one by one, they cost
// nearly every request that is meant for the zone one or more such attempts.
type zoneSilence struct {
	own string
	// silent maps a zone to the parties that were silent, with the times.
	silent *immutable.Map[string, map[string]time.Time]
}

func newZoneSilence(own string) zoneSilence {
	return zoneSilence{own: own, silent: immutable.NewMap[string, map[string]time.Time](nil)}
}

// withSilent notes that nothing came back from a node or upstream.
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

// withStillSilent notes that a party that was silent is so still.
func (z zoneSilence) withStillSilent(zone, endpoint string, now time.Time) zoneSilence {
	if known, _ := z.silent.Get(zone); !known[endpoint].IsZero() {
		return z.withSilent(zone, endpoint, now)
	}

	return z
}

// withReply notes a sign of life from a zone.
func (z zoneSilence) withReply(zone string) zoneSilence {
	if _, ok := z.silent.Get(zone); ok {
		z.silent = z.silent.Delete(zone)
	}

	return z
}

// cutOff says whether another zone is taken for cut off.
func (z zoneSilence) cutOff(zone string, now time.Time) bool {
	if zone == z.own {
		return false
	}
	known, _ := z.silent.Get(zone)
	silentCount := 0
	for _, at := range known {
		if now.Sub(at) < silenceTTL {
			silentCount++
		}
	}

	return silentCount >= minSilentEndpoints
}

// allCutOff lists the zones that are taken for cut off.
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

// silentEndpoints lists the silent parties of a zone, sorted.
func (z zoneSilence) silentEndpoints(zone string) []string {
	known, _ := z.silent.Get(zone)

	return slices.Sorted(maps.Keys(known))
}

// recordSilence takes in that nothing came back from a node or upstream of a zone.
func (st *reduction) recordSilence(zone, endpoint string) {
	wasCutOff := st.zoneSilence.cutOff(zone, st.now)
	st.zoneSilence = st.zoneSilence.withSilent(zone, endpoint, st.now)
	if !wasCutOff && st.zoneSilence.cutOff(zone, st.now) {
		st.emit(LogZone{Zone: zone, CutOff: true, Silent: st.zoneSilence.silentEndpoints(zone)})
	}
}

// recordReply takes in a sign of life from a zone.
func (st *reduction) recordReply(zone string) {
	wasCutOff := st.zoneSilence.cutOff(zone, st.now)
	st.zoneSilence = st.zoneSilence.withReply(zone)
	if wasCutOff {
		st.emit(LogZone{Zone: zone})
	}
}

// recordZoneReply takes in what the end of a call says of the upstream's zone.
func (st *reduction) recordZoneReply(u chutefleet.Upstream, silent, answered bool) {
	switch {
	case silent:
		st.recordSilence(u.Zone, u.ID)
	case answered:
		st.recordReply(u.Zone)
	}
}

// reachableOrOwn returns the zone, or the own one in place of one that is cut off.
func (z zoneSilence) reachableOrOwn(zone string, now time.Time) string {
	if z.cutOff(zone, now) {
		return z.own
	}

	return zone
}
