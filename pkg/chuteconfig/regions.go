package chuteconfig

import "slices"

// AllowedZones returns the zones in which a request of a workspace may run on a pipeline, sorted; nil if
// neither restricts its regions. An empty list means that it may run nowhere.
func (c Config) AllowedZones(pipeline, workspace string) []string {
	lists := [][]string{c.Pipelines[pipeline].AllowedRegions, c.Workspaces[workspace].AllowedRegions}
	if len(lists[0]) == 0 && len(lists[1]) == 0 {
		return nil
	}
	zones := []string{}
	for _, name := range sortedKeys(c.Zones) {
		isForbidden := func(allowed []string) bool {
			return len(allowed) > 0 && !slices.Contains(allowed, c.Zones[name].Region)
		}
		if !slices.ContainsFunc(lists, isForbidden) {
			zones = append(zones, name)
		}
	}

	return zones
}

// checkRegions notes a list of regions in none of which a zone of the site lies. Some of them may be
// those of other sites that share the base file.
func (c *checker) checkRegions(at path, regions []string) {
	if len(regions) == 0 {
		return
	}
	for _, zone := range c.cfg.Zones {
		if slices.Contains(regions, zone.Region) {
			return
		}
	}
	c.add(at, regions, "no zone of the site lies in any of these regions", "name a region of one of the Zones, or leave the list out")
}
