package chutemeter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"azurechute.example/azurechute/internal/chuterelay"
)

// maxWorkspaces bounds the workspaces that are counted by name: a site may have tens of
// thousands, and on-call asks for the few that are loud.
const maxWorkspaces = 64

// noteWorkspace counts a request that was admitted or has ended; the caller holds mu.
//
// With all names taken, a new one takes the place of the one with the fewest requests,
// whose counts go to the others'. A workspace that gets loud is soon among the largest.
func (m *Meter) noteWorkspace(n chuterelay.LogStep) {
	switch n.Step {
	case chuterelay.StepAdmitted, chuterelay.StepRefused, chuterelay.StepAnswered, chuterelay.StepFailureDelivered, chuterelay.StepCancelled:
	default:
		return
	}
	name := cmp.Or(n.Workspace, other)
	if m.workspaces[name] == nil {
		if len(m.workspaces) >= maxWorkspaces {
			m.foldSmallest()
		}
		m.workspaces[name] = map[chuterelay.Step]int64{}
	}
	m.workspaces[name][n.Step]++
}

// foldSmallest adds the smallest workspace's counts to those of the others.
func (m *Meter) foldSmallest() {
	names := slices.DeleteFunc(slices.Collect(maps.Keys(m.workspaces)), func(name string) bool { return name == other })
	smallest := slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(total(m.workspaces[a]), total(m.workspaces[b])), cmp.Compare(a, b))
	})
	if m.workspaces[other] == nil {
		m.workspaces[other] = map[chuterelay.Step]int64{}
	}
	for step, count := range m.workspaces[smallest] {
		m.workspaces[other][step] += count
	}
	delete(m.workspaces, smallest)
}

func total(counts map[chuterelay.Step]int64) int64 {
	sum := int64(0)
	for _, count := range counts {
		sum += count
	}

	return sum
}

// writeWorkspaces writes the counts by workspace; the caller holds mu.
func (m *Meter) writeWorkspaces(w io.Writer) error {
	for _, name := range slices.Sorted(maps.Keys(m.workspaces)) {
		counts := m.workspaces[name]
		for _, step := range slices.Sorted(maps.Keys(counts)) {
			_, err := fmt.Fprintf(w, "azurechute_workspace_requests_total{workspace=%q,step=%q} %d\n", name, string(step), counts[step])
			if err != nil {
				return err
			}
		}
	}

	return nil
}
