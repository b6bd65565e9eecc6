package chutecli

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// workspaceUse is what one workspace asked for and got.
type workspaceUse struct {
	Workspace string
	Requests  int
	OnTime    int
	Late      int
	Refused   int
	// Failed counts requests that ended in another way, or without an end in the logs.
	Failed int
	// WaitP50Ms and WaitP99Ms are the times to the first event, or to a whole answer.
	WaitP50Ms int64
	WaitP99Ms int64
	// Pools has the workspace's part of the parts that were made at each pool, from 0 to 1.
	Pools map[string]float64 `json:",omitempty"`
}

// tally collects one workspace's requests.
type tally struct {
	use   workspaceUse
	waits []int64
	parts map[string]int
}

// useOf works out what each workspace asked for and got; requests of none are left out.
func useOf(stories map[string][]logLine) []workspaceUse {
	tallies := map[string]*tally{}
	made := map[string]int{}
	for _, lines := range stories {
		name := workspaceOf(lines)
		if name == "" {
			continue
		}
		if tallies[name] == nil {
			tallies[name] = &tally{use: workspaceUse{Workspace: name}, parts: map[string]int{}}
		}
		tallies[name].add(lines)
		for _, line := range lines {
			made[line.Pool] += line.Parts
		}
	}
	var all []workspaceUse
	for _, t := range tallies {
		all = append(all, t.result(made))
	}
	slices.SortFunc(all, func(a, b workspaceUse) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Workspace, b.Workspace))
	})

	return all
}

// workspaceOf returns whose request the lines are about; the first and the last one say it.
func workspaceOf(lines []logLine) string {
	for _, line := range lines {
		if line.Workspace != "" {
			return line.Workspace
		}
	}

	return ""
}

// add counts one request.
func (t *tally) add(lines []logLine) {
	t.use.Requests++
	aim, waited := int64(0), int64(-1)
	for _, line := range lines {
		t.parts[line.Pool] += line.Parts
		switch {
		case line.Step == "admitted":
			aim = line.AimMs
		case line.Step == "began" || strings.HasPrefix(line.Step, "answered") && waited < 0:
			waited = line.AgeMs
		}
	}
	switch last := lines[len(lines)-1].Step; {
	case last == "refused":
		t.use.Refused++
	case last != "answered":
		t.use.Failed++
	case waited <= aim:
		t.use.OnTime++
	default:
		t.use.Late++
	}
	if waited >= 0 {
		t.waits = append(t.waits, waited)
	}
}

// result returns the workspace's figures; made counts the parts of all.
func (t *tally) result(made map[string]int) workspaceUse {
	use := t.use
	if len(t.waits) > 0 {
		slices.Sort(t.waits)
		use.WaitP50Ms, use.WaitP99Ms = quantile(t.waits, 50), quantile(t.waits, 99)
	}
	for pool, parts := range t.parts {
		if parts == 0 {
			continue
		}
		if use.Pools == nil {
			use.Pools = map[string]float64{}
		}
		use.Pools[pool] = float64(parts) / float64(made[pool])
	}

	return use
}

// row returns the figures as the text shows them.
func (u workspaceUse) row() []string {
	var pools []string
	for _, pool := range slices.Sorted(maps.Keys(u.Pools)) {
		pools = append(pools, fmt.Sprintf("%s %.0f%%", pool, 100*u.Pools[pool]))
	}

	return []string{
		u.Workspace, strconv.Itoa(u.Requests), strconv.Itoa(u.OnTime), strconv.Itoa(u.Late), strconv.Itoa(u.Refused),
		strconv.Itoa(u.Failed), fmt.Sprint(u.WaitP50Ms, " ms"), fmt.Sprint(u.WaitP99Ms, " ms"), strings.Join(pools, ", "),
	}
}
