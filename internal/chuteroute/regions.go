package chuteroute

import (
	"slices"
	"strings"
)

// Regions is a set of the platform's regions in which a request may be run and its results stored. The
// zero value is the set of all regions. It is comparable: equal sets are equal values.
type Regions string

// regionSeparator begins, separates and ends the names in a Regions. The set of no region is a single one.
const regionSeparator = "\n"

// NewRegions returns the set of some regions, or of all if none is named.
func NewRegions(names ...string) Regions {
	if len(names) == 0 {
		return ""
	}

	return regionsOf(names)
}

// regionsOf returns the set of some regions, none of them if there are no names.
func regionsOf(names []string) Regions {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	set := regionSeparator
	for _, name := range sorted {
		set += name + regionSeparator
	}

	return Regions(set)
}

// IsAll reports whether the set holds all regions.
func (r Regions) IsAll() bool {
	return r == ""
}

// Contains reports whether a region is in the set. A region without a name is in the set of all only.
func (r Regions) Contains(region string) bool {
	return r.IsAll() || region != "" && strings.Contains(string(r), regionSeparator+region+regionSeparator)
}

// And returns the regions that are in both sets.
func (r Regions) And(other Regions) Regions {
	switch {
	case r.IsAll():
		return other
	case other.IsAll():
		return r
	}

	return regionsOf(slices.DeleteFunc(r.Names(), func(name string) bool { return !other.Contains(name) }))
}

// Names returns the names of the regions, sorted; nil for all regions.
func (r Regions) Names() []string {
	return strings.FieldsFunc(string(r), func(c rune) bool { return string(c) == regionSeparator })
}

// String returns the names, separated by commas, or "all".
func (r Regions) String() string {
	if r.IsAll() {
		return "all"
	}

	return strings.Join(r.Names(), ",")
}

// MarshalText encodes the set for a state dump.
func (r Regions) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// AllowedRegions returns the regions in which a request of a workspace may run on a pipeline.
func AllowedRegions(p Pipeline, w Workspace) Regions {
	return p.Regions.And(w.Regions)
}

// UnknownRegions returns the regions that pipelines and workspaces name and that are not among the given
// ones, sorted.
func (c Config) UnknownRegions(known []string) []string {
	unknown := map[string]bool{}
	add := func(r Regions) {
		for _, name := range r.Names() {
			if !slices.Contains(known, name) {
				unknown[name] = true
			}
		}
	}
	for i := range c.Pipelines {
		add(c.Pipelines[i].Regions)
	}
	for _, w := range c.Workspaces {
		add(w.Regions)
	}
	var names []string
	for name := range unknown {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}
