package chutequarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// partPrefix begins the elements that are parts of prompts. No fingerprint has a slash.
const partPrefix = "part/"

// setPrefix begins the keys of verdicts on several parts.
const setPrefix = "set/"

// PartElement returns the element of a part of prompts with an id.
//
// An element is what crashes are put down to: a request, by its fingerprint, or a part of prompts.
func PartElement(id string) string {
	return partPrefix + id
}

// isPart reports whether an element is a part of prompts.
func isPart(element string) bool {
	return strings.HasPrefix(element, partPrefix)
}

// elements returns the request's fingerprint and the parts of its prompt.
func (s Suspect) elements() []string {
	return append([]string{s.Fingerprint}, s.Parts...)
}

// has reports whether an element is the request or a part of its prompt.
func (s Suspect) has(element string) bool {
	return s.Fingerprint == element || slices.Contains(s.Parts, element)
}

// hasAll reports whether the request has all elements.
func (s Suspect) hasAll(elements []string) bool {
	return !slices.ContainsFunc(elements, func(e string) bool { return !s.has(e) })
}

// suspectsWith returns the requests of a crash that have an element.
func (c crashRecord) suspectsWith(element string) []Suspect {
	var all []Suspect
	for _, s := range c.Suspects {
		if s.has(element) {
			all = append(all, s)
		}
	}

	return all
}

// elements returns the elements of all suspects of a crash, each once.
func (c crashRecord) elements() []string {
	seen := map[string]bool{}
	var all []string
	for _, s := range c.Suspects {
		for _, e := range s.elements() {
			if !seen[e] {
				seen[e] = true
				all = append(all, e)
			}
		}
	}

	return all
}

// survived returns the highest reported count of an element's survived calls; a part counts one if upstreams have
// answered it.
func (c crashRecord) survived(element string) int {
	for _, s := range c.Suspects {
		if s.Fingerprint == element {
			return s.Survived
		}
		if slices.Contains(s.Answered, element) {
			return 1
		}
	}

	return 0
}

// partCount returns the number of parts that the suspects of a crash have.
func (c Crash) partCount() int {
	count := 0
	for _, s := range c.Suspects {
		count += len(s.Parts)
	}

	return count
}

// verdictKey returns the key of a verdict on requests that have all of some elements, which are sorted.
func verdictKey(elements []string) string {
	if i := slices.IndexFunc(elements, func(e string) bool { return !isPart(e) }); i >= 0 {
		return elements[i]
	}
	if len(elements) == 1 {
		return elements[0]
	}
	sum := sha256.Sum256([]byte(strings.Join(elements, ",")))

	return setPrefix + hex.EncodeToString(sum[:16])
}

// judgedElements returns the elements that a verdict is on.
func (j Judgement) judgedElements() []string {
	if len(j.Elements) > 0 {
		return j.Elements
	}

	return []string{j.Fingerprint}
}

// IsOnParts reports whether a judgement is on parts of prompts, in whatever request they are.
func (j Judgement) IsOnParts() bool {
	return strings.HasPrefix(j.Fingerprint, partPrefix) || strings.HasPrefix(j.Fingerprint, setPrefix)
}

// covers reports whether a verdict is on a request that is to run in a pool.
func (j Judgement) covers(s Suspect, pool string) bool {
	if !j.IsOnParts() {
		return s.Fingerprint == j.Fingerprint
	}

	return inScope(j.Workspaces, s.Workspace) && inScope(j.Pools, pool) && s.hasAll(j.judgedElements())
}

// inScope reports whether a scope has a name; an empty one has all.
func inScope(scope []string, name string) bool {
	return len(scope) == 0 || slices.Contains(scope, name)
}

// mergedScope returns the scope of a verdict that was reached for two scopes: everything if they differ.
func mergedScope(a, b []string) []string {
	if len(a) == 0 || !slices.Equal(a, b) {
		return nil
	}

	return a
}

// scopeOf returns the scope of a verdict by the names at its crashes: a single workspace can't have others' requests
// refused, and a part may be harmless in another pool.
func scopeOf(names map[string]bool) []string {
	if len(names) != 1 {
		return nil
	}
	for name := range names {
		if name != "" {
			return []string{name}
		}
	}

	return nil
}
