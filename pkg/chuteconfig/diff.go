package chuteconfig

import "reflect"

// Change is one value that differs between two configurations; the side that lacks it is empty.
type Change struct {
	// Path leads to the value, as in "Policy.RetryBudget".
	Path string
	// Before and After are the values as JSON.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// String returns the change as one line for an operator.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.Path + ": " + c.After
	case c.After == "":
		return "- " + c.Path + ": " + c.Before
	}

	return "~ " + c.Path + ": " + c.Before + " -> " + c.After
}

// Diff returns what differs between two configurations, sorted by path.
func Diff(before, after Config) []Change {
	return diffTrees("", withoutNulls(toTree(before)), withoutNulls(toTree(after)))
}

// DiffSets returns what differs between two sets apart from their versions; paths start with the site's name.
func DiffSets(before, after Set) []Change {
	return diffTrees("", sitesTree(before), sitesTree(after))
}

// sitesTree keeps a set without sites an object, so that each new site shows as a change of its own.
func sitesTree(set Set) any {
	if len(set.Sites) == 0 {
		return map[string]any{}
	}

	return withoutNulls(toTree(set.Sites))
}

func diffTrees(at path, before, after any) []Change {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	if b, ok := before.(map[string]any); ok {
		if a, ok := after.(map[string]any); ok {
			return diffObjects(at, b, a)
		}
	}
	if b, ok := before.([]any); ok {
		if a, ok := after.([]any); ok && len(a) == len(b) {
			return diffArrays(at, b, a)
		}
	}

	return []Change{{Path: string(at), Before: showSide(before), After: showSide(after)}}
}

func diffObjects(at path, before, after map[string]any) []Change {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var changes []Change
	for _, name := range sortedKeys(names) {
		changes = append(changes, diffTrees(at.key(name), before[name], after[name])...)
	}

	return changes
}

func diffArrays(at path, before, after []any) []Change {
	var changes []Change
	for i := range before {
		changes = append(changes, diffTrees(at.index(i), before[i], after[i])...)
	}

	return changes
}

func showSide(v any) string {
	if v == nil {
		return ""
	}

	return show(v)
}
