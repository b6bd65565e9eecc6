package chutefleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Side is the part of a pool that a call may go to while a new version is on trial.
type Side string

// The sides of a pool. Without a trial all upstreams are on SideOld.
const (
	// SideAny: all upstreams, for what does not count as use, such as an estimate.
	SideAny Side = ""
	SideOld Side = "Old"
	SideNew Side = "New"
)

// VersionRule says which versions of a pool's upstreams get calls. It is immutable.
type VersionRule struct {
	// Barred are versions whose upstreams get no calls.
	Barred []string `json:",omitempty"`
	// Trial is the version whose upstreams get the calls of SideNew and no others; empty if there is
	// none.
	Trial string `json:",omitempty"`
	// TrialUpstreams is the number of upstreams that the calls of SideNew are spread over; 0 for all.
	TrialUpstreams int `json:",omitempty"`
}

// WithVersionRules replaces the rules on versions, by pool. The map must not be changed afterwards.
func (f Fleet) WithVersionRules(rules map[string]VersionRule) Fleet {
	f.versionRules = rules

	return f
}

// VersionRules returns the rules on versions, by pool. The map must not be changed.
func (f Fleet) VersionRules() map[string]VersionRule {
	return f.versionRules
}

// isBarred reports whether the upstream's version gets no calls.
func (f Fleet) isBarred(m *member) bool {
	return len(f.versionRules) > 0 && slices.Contains(f.versionRules[m.Pool].Barred, m.Version)
}

// isOnSide reports whether an upstream is on a side of its pool.
func (f Fleet) isOnSide(u *Upstream, side Side) bool {
	if side == SideAny || len(f.versionRules) == 0 {
		return true
	}
	trial := f.versionRules[u.Pool].Trial

	return (side == SideNew) == (trial != "" && u.Version == trial)
}

// VersionCounts returns the number of a pool's listed upstreams by version.
func (f Fleet) VersionCounts(pool string) map[string]int {
	counts := map[string]int{}
	for m := range f.inPool(pool, Use{}) {
		counts[m.Version]++
	}

	return counts
}

// trialCandidates returns those of a trial's candidates that the calls are spread over. Each node
// selects the same ones as long as they are available, so that these get as many calls each as in
// regular service.
func trialCandidates(all []candidate, count int) []candidate {
	if count <= 0 || len(all) <= count {
		return all
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Compare(xxhash.Sum64String("trial|"+a.Name), xxhash.Sum64String("trial|"+b.Name))
	})

	return all[:count]
}
